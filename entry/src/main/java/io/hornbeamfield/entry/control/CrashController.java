package io.hornbeamfield.entry.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.quarantine.CrashEvidence;
import io.hornbeamfield.core.quarantine.CrashJournal;
import io.hornbeamfield.core.quarantine.PartActivity;
import io.hornbeamfield.core.quarantine.Quarantine;
import io.hornbeamfield.core.store.RewrittenEntries;
import io.hornbeamfield.core.store.StoreRevision;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.platform.StoreClient;
import io.hornbeamfield.platform.StoreList;
import io.hornbeamfield.platform.StoreObject;
import io.hornbeamfield.platform.WatchResult;
import io.hornbeamfield.platform.WriteResult;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Shares crashes of backend servers with the other instances through the store, and publishes which parts of prompts
 * are held responsible. Each instance writes one object with what it has seen and reads those of all others. Operators
 * lift a quarantine by removing these objects.
 */
final class CrashController {
    private static final String KIND = "crashes";

    /** Two reads fit into the time within which an instance must know the state of the store. */
    private static final long READ_INTERVAL_MS = 1_000;

    /** An instance serves no prompts before its first read. */
    private static final long FIRST_READ_RETRY_MS = 200;

    /** While the same part was at several crashes, the next one may come at any moment. */
    private static final long ALERT_READ_INTERVAL_MS = 400;

    /**
     * In a large fleet a watch replaces the frequent lists of all instances. A silent connection is noticed after this
     * and the call timeout.
     */
    private static final Duration ALERT_WATCH_WAIT = Duration.ofMillis(1_000);

    private static final int ALERT_CRASHES = 2;

    /** Time for which new crashes are expected after the last one. */
    private static final long ALERT_MS = 10_000;

    /** Collects the requests of one crash, whose connections end within milliseconds. */
    private static final long WRITE_DELAY_MS = 50;

    /** Instances write again after their next read what the store has lost. */
    private static final long REWRITE_MS = 4_000;

    private final StoreClient store;
    private final ScheduledExecutorService control;
    private final Clock clock;
    private final Blackboard blackboard;
    private final EventLog log;
    private final String instance;
    private final CrashJournal journal;
    private final Runnable onQuarantineChanged;
    private final BooleanSupplier largeFleet;
    private final RewrittenEntries<CrashEvidence> reported;

    /** The objects of the last recent list with the changes since; empty if the next read must be a list. */
    private Optional<Map<String, StoreObject>> watched = Optional.empty();

    private CrashEvidence written = CrashEvidence.none();
    private StoreRevision writtenRevision = StoreRevision.NONE;
    private StoreRevision readRevision = StoreRevision.NONE;
    private long readMs;
    private long lastCrashMs;
    private int crashesKnown;
    private boolean restored;
    private boolean writeScheduled;

    CrashController(
            StoreClient store,
            ScheduledExecutorService control,
            Clock clock,
            Blackboard blackboard,
            EventLog log,
            String instance,
            PartActivity activity,
            Runnable onQuarantineChanged,
            BooleanSupplier largeFleet) {
        this.store = store;
        this.control = control;
        this.clock = clock;
        this.blackboard = blackboard;
        this.log = log;
        this.instance = instance;
        this.journal = new CrashJournal(clock, activity);
        this.onQuarantineChanged = onQuarantineChanged;
        this.largeFleet = largeFleet;
        this.reported = new RewrittenEntries<>(clock, REWRITE_MS);
        this.lastCrashMs = clock.millis() - ALERT_MS;
    }

    void start() {
        read();
    }

    private void read() {
        // Another instance may have written just before this one started, and a part may be at crashes at any moment.
        boolean recent = !restored || isAlert();
        boolean watch = restored && recent && largeFleet.getAsBoolean();
        if (watch && watched.isPresent()) {
            store.watch(KIND, readRevision, ALERT_WATCH_WAIT).whenCompleteAsync(this::onWatched, control);
            return;
        }
        watched = Optional.empty();
        CompletableFuture<StoreList> list = recent ? store.list(KIND) : store.listStale(KIND);
        list.whenCompleteAsync((l, failure) -> onRead(l, failure, watch), control);
    }

    /** A watch that fails or whose history is gone is followed by a list. */
    private void onWatched(@Nullable WatchResult result, @Nullable Throwable failure) {
        if (result instanceof WatchResult.Changes c && watched.isPresent()) {
            Map<String, StoreObject> objects = watched.get();
            for (WatchResult.Change change : c.changes()) {
                if (change.removed()) {
                    objects.remove(change.object().name());
                } else {
                    objects.put(change.object().name(), change.object());
                }
            }
            readRevision = c.revision().isAtLeast(readRevision) ? c.revision() : readRevision;
            readMs = clock.millis();
            try {
                apply(new StoreList(List.copyOf(objects.values()), readRevision));
            } finally {
                control.schedule(this::read, c.changes().isEmpty() ? 0 : ALERT_READ_INTERVAL_MS, TimeUnit.MILLISECONDS);
            }
        } else {
            log.event("crashes-unread")
                    .field("reason", failure == null ? String.valueOf(result) : String.valueOf(failure))
                    .write();
            watched = Optional.empty();
            control.schedule(this::read, ALERT_READ_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean isAlert() {
        return clock.millis() - lastCrashMs < ALERT_MS
                && blackboard.quarantine().mostUnexplainedCrashes() >= ALERT_CRASHES;
    }

    private void onRead(@Nullable StoreList list, @Nullable Throwable failure, boolean watchNext) {
        try {
            if (list == null) {
                log.event("crashes-unread")
                        .field("reason", String.valueOf(failure))
                        .write();
            } else if (list.revision().isAtLeast(readRevision)) {
                readRevision = list.revision();
                readMs = clock.millis();
                if (watchNext) {
                    watched = Optional.of(list.objects().stream()
                            .collect(Collectors.toMap(StoreObject::name, o -> o, (a, b) -> b, HashMap::new)));
                }
                apply(list);
            }
        } finally {
            long delayMs = !restored ? FIRST_READ_RETRY_MS : isAlert() ? ALERT_READ_INTERVAL_MS : READ_INTERVAL_MS;
            control.schedule(this::read, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    private void apply(StoreList list) {
        Map<String, CrashEvidence> others = new HashMap<>();
        boolean ownListed = false;
        for (StoreObject o : list.objects()) {
            Optional<CrashEvidence> evidence = decode(o);
            if (o.name().equals(instance)) {
                ownListed = true;
                if (!restored) {
                    evidence.ifPresent(journal::restore);
                }
            } else {
                evidence.ifPresent(e -> others.put(o.name(), e));
            }
        }
        restored = true;
        boolean wasWritten = !writtenRevision.equals(StoreRevision.NONE);
        if (wasWritten && !list.revision().isOfGenerationOf(writtenRevision)) {
            // The store has come back from an older copy, which lacks the evidence or holds less of it.
            written = CrashEvidence.none();
            writtenRevision = StoreRevision.NONE;
            wasWritten = false;
        }
        boolean lifted = !ownListed && wasWritten && list.revision().isAtLeast(writtenRevision);
        if (lifted) {
            log.event("crashes-removed")
                    .field("revision", list.revision().number())
                    .write();
            journal.forgetOwn();
            written = CrashEvidence.none();
            writtenRevision = StoreRevision.NONE;
        }
        journal.othersReported(reported.listed(list.revision(), others).values());
        assess();
        blackboard.markCrashesKnown();
        removeExpired(list);
    }

    private Optional<CrashEvidence> decode(StoreObject o) {
        try {
            return Optional.of(Json.read(o.content(), CrashEvidence.class));
        } catch (UncheckedIOException e) {
            log.event("crashes-unreadable")
                    .field("object", o.name())
                    .field("reason", String.valueOf(e.getMessage()))
                    .write();
            return Optional.empty();
        }
    }

    /** Removes the expired objects of instances that have left for good; one instance does so for all. */
    private void removeExpired(StoreList list) {
        Set<String> members =
                blackboard.members().stream().map(Blackboard.Member::name).collect(Collectors.toSet());
        if (members.stream().anyMatch(m -> m.compareTo(instance) < 0)) {
            return;
        }
        for (StoreObject o : list.objects()) {
            boolean expired = decode(o).map(journal::isExpired).orElse(false);
            if (expired && !members.contains(o.name())) {
                store.delete(KIND, o.name(), o.revision())
                        .whenCompleteAsync(
                                (reply, failure) -> log.event("crashes-expired")
                                        .field("object", o.name())
                                        .field("outcome", reply == null ? String.valueOf(failure) : reply.toString())
                                        .write(),
                                control);
            }
        }
    }

    /** Records a request whose answer had not begun when its server crashed. */
    void serverCrashed(String service, String server, String request, Collection<String> parts) {
        journal.serverCrashed(service, server, parts);
        log.event("server-crashed")
                .field("service", service)
                .field("server", server)
                .field("id", request)
                .field("parts", String.join(",", parts))
                .write();
        assess();
    }

    private void assess() {
        Quarantine before = blackboard.quarantine();
        Quarantine next = journal.assess();
        blackboard.quarantine(next);
        if (journal.knownCrashes() > crashesKnown) {
            lastCrashMs = clock.millis();
        }
        crashesKnown = journal.knownCrashes();
        if (!before.culprits().equals(next.culprits())) {
            log.event("quarantine")
                    .field("parts", describe(next))
                    .field("crashes", crashesKnown)
                    .field("revision", readRevision.number())
                    .field("ageMs", clock.millis() - readMs)
                    .write();
            onQuarantineChanged.run();
        }
        scheduleWrite();
    }

    private static String describe(Quarantine quarantine) {
        return quarantine.culprits().entrySet().stream()
                .flatMap(e -> e.getValue().stream()
                        .map(c -> e.getKey() + ":" + String.join("+", c.parts()) + " after "
                                + c.servers().size() + " crashes"))
                .sorted()
                .collect(Collectors.joining(", "));
    }

    private void scheduleWrite() {
        if (restored && !writeScheduled && !journal.own().equals(written)) {
            writeScheduled = true;
            control.schedule(this::write, WRITE_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void write() {
        CrashEvidence own = journal.own();
        JsonNode content = Json.tree(own);
        store.replace(KIND, instance, content)
                .thenCompose(r -> r instanceof WriteResult.Conflict
                        ? store.create(KIND, instance, content)
                        : CompletableFuture.completedFuture(r))
                .whenCompleteAsync((reply, failure) -> onWritten(own, reply, failure), control);
    }

    private void onWritten(CrashEvidence own, @Nullable WriteResult reply, @Nullable Throwable failure) {
        writeScheduled = false;
        if (reply instanceof WriteResult.Stored s) {
            written = own;
            writtenRevision = s.object().revision();
        } else {
            // The next read, which follows within a second, writes again.
            log.event("crashes-unwritten")
                    .field("reason", reply == null ? String.valueOf(failure) : reply.toString())
                    .write();
        }
    }
}
