"""The part of a node that keeps settings and passes them on."""

from collections.abc import Iterable

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.configuration import store
from hyssopwind.core.node import context
from hyssopwind.core.node import events

MAX_DOCUMENTS_PER_MESSAGE = 8


class ConfiguringPart:
    """Offers documents of the service and of peers to the store."""

    def __init__(self, shared: context.Context):
        self._shared = shared
        self._store = store.ConfigurationStore(shared.monitor)
        self._has_listing = False
        self._stale_listings = 0

    @property
    def documents(self) -> store.ConfigurationStore:
        """The settings in force."""
        return self._store

    @property
    def is_loaded(self) -> bool:
        """Whether the service or a peer has given any settings."""
        return self._has_listing or bool(self._store.teams)

    @property
    def stale_listings(self) -> int:
        """Listings of the service that were older than what was known."""
        return self._stale_listings

    def take_listing(
        self, documents: Iterable[store.TeamDocument], revision: int
    ) -> None:
        """Takes a whole listing of the configuration service."""
        newest = max(self._store.revisions.values(), default=-1)
        if revision < newest:
            self._stale_listings += 1
        self._has_listing = True
        self._note(self._store.offer_listing(documents, revision))

    def take_document(self, document: store.TeamDocument) -> None:
        """Takes one changed document of the configuration service."""
        self._note([self._store.offer(document)])

    def take_heartbeat(
        self, sender: messages.Sender, heartbeat: messages.Heartbeat
    ) -> None:
        """Sends a peer the documents that it lacks."""
        newer = self._store.newer_than(heartbeat.revisions)
        if not newer:
            return
        published = [
            messages.PublishedDocument(d.team, d.revision, d.text)
            for d in newer[:MAX_DOCUMENTS_PER_MESSAGE]
        ]
        message = messages.Documents(documents=published)
        self._shared.send(sender.daemon, message)

    def take_documents(self, message: messages.Documents) -> None:
        """Takes documents of a peer."""
        verdicts = [
            self._store.offer(
                store.TeamDocument(
                    ids.TeamId(item.team), item.revision, item.text
                )
            )
            for item in message.documents
        ]
        self._note(verdicts)

    def _note(self, verdicts: list[store.Verdict]) -> None:
        if store.Verdict.IN_FORCE not in verdicts:
            return
        revisions = tuple(sorted(self._store.revisions.items()))
        self._shared.emit(events.SettingsChanged(revisions))
