"""Stores the settings in force, one document and revision for each team.

A document replaces another only if its revision is higher, regardless of its
source. An invalid document leaves the previous one of its team in force and
does not affect other teams.
"""

import dataclasses
import enum
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

import xxhash

from hyssopwind.core import findings
from hyssopwind.core import ids
from hyssopwind.core import invariants
from hyssopwind.core.settings import documents
from hyssopwind.core.settings import parsing
from hyssopwind.core.settings import snapshot


class OfferResult(enum.Enum):
    """Result of an offer of a document."""

    IN_FORCE = "in force"
    REJECTED = "rejected"
    OLDER = "older"
    SAME = "same"


@dataclasses.dataclass(frozen=True, slots=True)
class TeamDocument:
    """A document of a team as published.

    Attributes:
        team: the team that the document belongs to.
        revision: revision of the configuration service, which only increases.
        text: TOML text; `None` if the subtree was deleted.
    """

    team: ids.TeamId
    revision: int
    text: str | None

    @property
    def digest(self) -> str:
        """Hash of the text, to compare documents of the same revision."""
        return xxhash.xxh3_64_hexdigest((self.text or "").encode())


@dataclasses.dataclass(frozen=True, slots=True)
class TeamState:
    """Documents and settings of one team.

    Attributes:
        latest: the newest document, valid or not.
        in_force: the newest valid document; `None` if there is none.
        settings: the settings of `in_force`; `None` if it is a deletion.
        findings: findings about `latest`.
    """

    latest: TeamDocument
    in_force: TeamDocument | None
    settings: documents.TeamSettings | None
    findings: tuple[findings.Finding, ...]


class ConfigurationStore:
    r"""Stores the documents of all teams and decides which are in force.

    Examples:
        >>> store = ConfigurationStore(invariants.InvariantMonitor())
        >>> team = ids.TeamId("studio")
        >>> text = "[data_centres.chicago]\n[services]\n"
        >>> store.offer(TeamDocument(team, 7, text))
        <OfferResult.IN_FORCE: 'in force'>
        >>> store.offer(TeamDocument(team, 6, text))
        <OfferResult.OLDER: 'older'>
        >>> store.revisions
        {'studio': 7}
    """

    def __init__(self, monitor: invariants.InvariantMonitor):
        self._monitor = monitor
        self._teams: dict[ids.TeamId, TeamState] = {}
        self._snapshot = snapshot.Snapshot([])

    @property
    def snapshot(self) -> snapshot.Snapshot:
        """The compiled settings in force."""
        return self._snapshot

    @property
    def teams(self) -> Mapping[ids.TeamId, TeamState]:
        """State of each team."""
        return self._teams

    @property
    def revisions(self) -> dict[ids.TeamId, int]:
        """The newest revision of each team, in force or rejected."""
        return {team: s.latest.revision for team, s in self._teams.items()}

    def offer(self, document: TeamDocument) -> OfferResult:
        """Applies a document from the configuration service or from a peer."""
        result = self._accept(document)
        if result is OfferResult.IN_FORCE:
            self._compile_snapshot()
        return result

    def offer_listing(
        self,
        listing: Iterable[TeamDocument],
        revision: int,
        unreadable_teams: Collection[ids.TeamId] = (),
    ) -> list[OfferResult]:
        """Applies a complete listing of the service at `revision`.

        A team that the listing lacks was deleted, but only if the listing is
        newer than the newest document of that team: a stale listing deletes
        nothing.

        Args:
            listing: the documents that could be read.
            revision: revision of the listing.
            unreadable_teams: teams whose documents exist and could not be read;
                they stay as they are.
        """
        document_by_team = {document.team: document for document in listing}
        results = [
            self.offer(document) for document in document_by_team.values()
        ]
        for team, state in list(self._teams.items()):
            if team in document_by_team or team in unreadable_teams:
                continue
            if state.latest.revision >= revision:
                continue
            results.append(self.offer(TeamDocument(team, revision, None)))
        return results

    def documents_newer_than(
        self, revisions: Mapping[str, int]
    ) -> list[TeamDocument]:
        """Returns the documents that are newer than `revisions`.

        If the latest document of a team was rejected, the one in force is
        returned before it.
        """
        newer = []
        for team, state in self._teams.items():
            if state.latest.revision <= revisions.get(team, -1):
                continue
            if state.in_force not in (None, state.latest):
                newer.append(state.in_force)
            newer.append(state.latest)
        return [document for document in newer if document is not None]

    def _accept(self, document: TeamDocument) -> OfferResult:
        state = self._teams.get(document.team)
        if state is not None and document.revision == state.latest.revision:
            return OfferResult.SAME
        if state is not None and document.revision < state.latest.revision:
            return self._accept_older(state, document)
        settings, problems = _parse(document)
        if problems:
            self._teams[document.team] = TeamState(
                document,
                state.in_force if state else None,
                state.settings if state else None,
                problems,
            )
            return OfferResult.REJECTED
        if not self._is_newer(state, document):
            return OfferResult.OLDER
        self._teams[document.team] = TeamState(document, document, settings, ())
        return OfferResult.IN_FORCE

    def _accept_older(
        self, state: TeamState, document: TeamDocument
    ) -> OfferResult:
        """Applies a document older than the latest if that one was rejected."""
        current = state.in_force
        if not state.findings:
            return OfferResult.OLDER
        if current is not None and current.revision >= document.revision:
            return OfferResult.OLDER
        settings, problems = _parse(document)
        if problems:
            return OfferResult.OLDER
        self._teams[document.team] = dataclasses.replace(
            state, in_force=document, settings=settings
        )
        return OfferResult.IN_FORCE

    def _is_newer(
        self, state: TeamState | None, document: TeamDocument
    ) -> bool:
        if state is None or state.in_force is None:
            return True
        return self._monitor.check(
            invariants.Invariant.REVISION_FORWARD,
            document.revision > state.in_force.revision,
            f"team {document.team}",
        )

    def _compile_snapshot(self) -> None:
        settings = {
            team: state.settings
            for team, state in self._teams.items()
            if state.settings is not None
        }
        self._snapshot = snapshot.compile_snapshot(settings)


def _parse(
    document: TeamDocument,
) -> tuple[documents.TeamSettings | None, tuple[findings.Finding, ...]]:
    if document.text is None:
        return None, ()
    result = parsing.parse_team(document.text, str(document.team))
    return result.value, result.findings
