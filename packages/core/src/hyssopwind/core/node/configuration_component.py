"""The component of a node that holds the settings and distributes them."""

from collections.abc import Collection
from collections.abc import Iterable

from hyssopwind.core import ids
from hyssopwind.core import messages
from hyssopwind.core.configuration import configuration_store
from hyssopwind.core.node import context
from hyssopwind.core.node import events

MAX_DOCUMENTS_PER_MESSAGE = 8


class ConfigurationComponent:
    """Stores documents of the configuration service and of peers."""

    def __init__(self, node_context: context.NodeContext):
        self._context = node_context
        self._store = configuration_store.ConfigurationStore(
            node_context.monitor
        )
        self._has_listing = False
        self._stale_listing_count = 0

    @property
    def document_store(self) -> configuration_store.ConfigurationStore:
        """The store with the settings in force."""
        return self._store

    @property
    def is_loaded(self) -> bool:
        """Whether the service or a peer has sent any settings."""
        return self._has_listing or bool(self._store.teams)

    @property
    def stale_listing_count(self) -> int:
        """The number of listings that were older than a stored document."""
        return self._stale_listing_count

    def apply_listing(
        self,
        documents: Iterable[configuration_store.TeamDocument],
        revision: int,
        unreadable_teams: Collection[ids.TeamId] = (),
    ) -> None:
        """Applies a complete listing of the configuration service."""
        newest_revision = max(self._store.revisions.values(), default=-1)
        if revision < newest_revision:
            self._stale_listing_count += 1
        self._has_listing = True
        self._announce_change(
            self._store.offer_listing(documents, revision, unreadable_teams)
        )

    def apply_document(
        self, document: configuration_store.TeamDocument
    ) -> None:
        """Applies one changed document of the configuration service."""
        self._announce_change([self._store.offer(document)])

    def handle_heartbeat(
        self, sender: messages.DaemonIdentity, heartbeat: messages.Heartbeat
    ) -> None:
        """Sends a peer the documents of which it holds an older revision."""
        newer_documents = self._store.documents_newer_than(heartbeat.revisions)
        if not newer_documents:
            return
        published = [
            messages.PublishedDocument(
                document.team, document.revision, document.text
            )
            for document in newer_documents[:MAX_DOCUMENTS_PER_MESSAGE]
        ]
        message = messages.Documents(documents=published)
        self._context.send(sender.daemon, message)

    def handle_documents(self, message: messages.Documents) -> None:
        """Applies documents that a peer sent."""
        results = [
            self._store.offer(
                configuration_store.TeamDocument(
                    ids.TeamId(document.team), document.revision, document.text
                )
            )
            for document in message.documents
        ]
        self._announce_change(results)

    def _announce_change(
        self, results: list[configuration_store.OfferResult]
    ) -> None:
        """Emits an event if one of the documents came into force."""
        if configuration_store.OfferResult.IN_FORCE not in results:
            return
        revisions = tuple(sorted(self._store.revisions.items()))
        self._context.emit(events.SettingsChanged(revisions))
