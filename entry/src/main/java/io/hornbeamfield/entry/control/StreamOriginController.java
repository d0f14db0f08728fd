package io.hornbeamfield.entry.control;

import io.hornbeamfield.core.routing.Rendezvous;
import io.hornbeamfield.core.stream.OriginLookup;
import io.hornbeamfield.core.stream.StreamId;
import io.hornbeamfield.core.stream.StreamOrigin;
import io.hornbeamfield.core.stream.StreamRecords;
import io.hornbeamfield.core.stream.VersionRecord;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.Blackboard.Member;
import io.hornbeamfield.entry.traffic.StreamOrigins;
import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerMessage;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Tells other instances of the streams that this one has begun, and finds out for a stream that is taken up which
 * version began it. Except for {@link StreamOrigins}, to be used on the control thread.
 */
final class StreamOriginController implements StreamOrigins {
    /** A stream is told to this many other instances, so that it is known after the loss of one of them. */
    private static final int TOLD_INSTANCES = 2;

    /** While one version of each service serves, the record of versions decides, except while the store is silent. */
    private static final long RELAXED_TELLING_MS = 1_000;

    /** A slow store responds within 250 ms. */
    private static final long LOOKUP_TIMEOUT_MS = 400;

    /** Reading the origins that the store keeps takes longer than a single object. */
    private static final long READ_TIMEOUT_MS = 1_500;

    /** An instance that has not answered within this time may have been lost. */
    private static final long SILENCE_MS = 150;

    /** Stands for the origins that the store keeps among the instances that a lookup asks. */
    private static final String STORED = "store";

    private final ScheduledExecutorService control;
    private final Clock clock;
    private final Blackboard blackboard;
    private final PeerTransfers peers;
    private final StreamVersionController versions;
    private final StreamRecords records;
    private final StoredOrigins stored;
    private final Queue<StreamId> untold = new ConcurrentLinkedQueue<>();
    private final Map<String, Lookup> lookups = new HashMap<>();
    private List<Lookup> awaitingRead = new ArrayList<>();
    private long lastLookup;
    private long lastToldMs;
    private boolean reading;

    private record Lookup(String id, StreamId stream, OriginLookup state, Consumer<OriginLookup.Result> onResult) {}

    StreamOriginController(
            ScheduledExecutorService control,
            Clock clock,
            Blackboard blackboard,
            PeerTransfers peers,
            StreamVersionController versions,
            StreamRecords records,
            StoredOrigins stored) {
        this.control = control;
        this.clock = clock;
        this.blackboard = blackboard;
        this.peers = peers;
        this.versions = versions;
        this.records = records;
        this.stored = stored;
    }

    /** Tells other instances of new streams. Called a few times per second. */
    void tick() {
        tellOthers();
        stored.tick();
    }

    @Override
    public void begun(StreamId id, StreamOrigin origin) {
        if (records.add(id, origin)) {
            untold.add(id);
        }
    }

    private void tellOthers() {
        boolean due = versions.hasSeveralVersions() || clock.millis() - lastToldMs >= RELAXED_TELLING_MS;
        if (untold.isEmpty() || !due) {
            return;
        }
        lastToldMs = clock.millis();
        List<PeerLink> links = links();
        boolean keeps = stored.keepsOrigins();
        Map<PeerLink, List<PeerMessage.BegunStream>> remembered = new HashMap<>();
        Map<PeerLink, List<PeerMessage.BegunStream>> kept = new HashMap<>();
        for (StreamId id = untold.poll(); id != null; id = untold.poll()) {
            Optional<StreamOrigin> origin = records.find(id);
            if (origin.isEmpty()) {
                continue;
            }
            if (keeps) {
                stored.add(id, origin.get());
            }
            List<PeerLink> targets = targets(links, id);
            for (int i = 0; i < targets.size(); i++) {
                Map<PeerLink, List<PeerMessage.BegunStream>> streams = keeps || i > 0 ? remembered : kept;
                streams.computeIfAbsent(targets.get(i), l -> new ArrayList<>()).add(message(id, origin.get()));
            }
        }
        remembered.forEach((link, list) -> link.send(new PeerMessage.StreamsBegun(list, false)));
        kept.forEach((link, list) -> link.send(new PeerMessage.StreamsBegun(list, true)));
    }

    private static List<PeerLink> targets(List<PeerLink> links, StreamId id) {
        return links.stream()
                .sorted(Comparator.comparingLong((PeerLink l) ->
                        -Rendezvous.weight(id.attemptId(), l.peer().instanceId())))
                .limit(TOLD_INSTANCES)
                .toList();
    }

    /** Returns the links to the instances that remember streams of others. */
    private List<PeerLink> links() {
        Set<String> remembering = blackboard.members().stream()
                .filter(Member::remembersStreams)
                .map(Member::name)
                .collect(Collectors.toSet());
        return peers.linksToLedgerWriters().stream()
                .filter(l -> remembering.contains(l.peer().instanceId()))
                .toList();
    }

    private static PeerMessage.BegunStream message(StreamId id, StreamOrigin origin) {
        return new PeerMessage.BegunStream(id.workspace(), id.attemptId(), origin.service(), origin.version());
    }

    @Override
    public Optional<OriginLookup.Result> remembered(StreamId id, String service) {
        return records.find(id).map(o -> OriginLookup.of(o, service));
    }

    @Override
    public void find(StreamId id, String service, Consumer<OriginLookup.Result> onResult) {
        control.execute(() -> lookUp(id, service, onResult));
    }

    private void lookUp(StreamId id, String service, Consumer<OriginLookup.Result> onResult) {
        String queryId = Long.toString(++lastLookup);
        List<PeerLink> links = links();
        Set<String> asked = links.stream().map(l -> l.peer().incarnation()).collect(Collectors.toSet());
        Lookup lookup = new Lookup(queryId, id, new OriginLookup(service, asked), onResult);
        lookups.put(queryId, lookup);
        for (PeerLink l : links) {
            if (!l.send(new PeerMessage.StreamQuery(queryId, id.workspace(), id.attemptId()))) {
                lookup.state().instanceAnswered(l.peer().incarnation(), Optional.empty());
            }
        }
        askStored(lookup);
        limitTime(lookup);
        awaitingRead.add(lookup);
        readForLookups();
    }

    private void askStored(Lookup lookup) {
        lookup.state().asked(STORED);
        stored.whenLoaded(() -> {
            lookup.state().instanceAnswered(STORED, records.find(lookup.stream()));
            finishIfCertain(lookup);
        });
    }

    private void limitTime(Lookup lookup) {
        control.schedule(() -> askStoredInsteadOfSilent(lookup), SILENCE_MS, TimeUnit.MILLISECONDS);
        control.schedule(() -> endOnceRead(lookup), LOOKUP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        control.schedule(() -> end(lookup), READ_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Reads what the store keeps if an instance does not answer, since the one that began the stream may be lost. */
    private void askStoredInsteadOfSilent(Lookup lookup) {
        boolean pending = lookups.containsKey(lookup.id()) && lookup.state().awaitsInstances();
        if (pending && !stored.isReading() && versions.hasSeveralVersions()) {
            stored.markOutdated();
            askStored(lookup);
        }
    }

    private void endOnceRead(Lookup lookup) {
        if (lookups.containsKey(lookup.id())) {
            stored.whenLoaded(() -> end(lookup));
        }
    }

    /** Ends a lookup, whoever has not answered. */
    private void end(Lookup lookup) {
        lookup.state().timedOut();
        finishIfCertain(lookup);
    }

    /** Reads the record for all lookups that wait, since a read that began before a request proves nothing about it. */
    private void readForLookups() {
        if (reading || awaitingRead.isEmpty()) {
            return;
        }
        reading = true;
        List<Lookup> served = awaitingRead;
        awaitingRead = new ArrayList<>();
        versions.read()
                .whenCompleteAsync(
                        (record, failure) -> {
                            reading = false;
                            served.forEach(l -> recordRead(l, record));
                            readForLookups();
                        },
                        control);
    }

    private void recordRead(Lookup lookup, @Nullable VersionRecord record) {
        if (record == null) {
            lookup.state().recordUnread();
        } else {
            lookup.state()
                    .recordRead(
                            record, versions.registeredVersions(lookup.state().service()));
        }
        finishIfCertain(lookup);
    }

    private void finishIfCertain(Lookup lookup) {
        Optional<OriginLookup.Result> result = lookup.state().result();
        if (result.isPresent() && lookups.remove(lookup.id(), lookup)) {
            lookup.onResult().accept(result.get());
        }
    }

    void handle(PeerLink link, PeerMessage.AboutStreams message) {
        if (message instanceof PeerMessage.StreamsBegun begun) {
            begun.streams().forEach(s -> remember(s, begun.keep()));
        } else if (message instanceof PeerMessage.StreamQuery q) {
            StreamId id = new StreamId(q.workspace(), q.attemptId());
            reply(link, q.queryId(), id);
        } else if (message instanceof PeerMessage.StreamReply reply) {
            Lookup lookup = lookups.get(reply.queryId());
            if (lookup != null) {
                lookup.state()
                        .instanceAnswered(
                                link.peer().incarnation(), reply.stream().map(StreamOriginController::origin));
                finishIfCertain(lookup);
            }
        }
    }

    private void reply(PeerLink link, String queryId, StreamId id) {
        Runnable reply = () ->
                link.send(new PeerMessage.StreamReply(queryId, records.find(id).map(o -> message(id, o))));
        if (records.find(id).isPresent()) {
            reply.run();
        } else {
            stored.whenLoaded(reply);
        }
    }

    private void remember(PeerMessage.BegunStream stream, boolean keep) {
        records.add(id(stream), origin(stream));
        if (keep) {
            stored.add(id(stream), origin(stream));
        }
    }

    private static StreamId id(PeerMessage.BegunStream s) {
        return new StreamId(s.workspace(), s.attemptId());
    }

    private static StreamOrigin origin(PeerMessage.BegunStream s) {
        return new StreamOrigin(s.service(), s.version());
    }

    /** Ends the wait for the answers of an instance whose link has closed; what it knew may be in the store. */
    void linkClosed(PeerLink link) {
        if (versions.hasSeveralVersions()
                && blackboard.isLedgerWriter(link.peer().instanceId())) {
            stored.markOutdated();
        }
        for (Lookup l : List.copyOf(lookups.values())) {
            if (l.state().awaits(link.peer().incarnation())) {
                askStored(l);
                l.state().instanceAnswered(link.peer().incarnation(), Optional.empty());
                finishIfCertain(l);
            }
        }
    }
}
