package io.hornbeamfield.entry.control;

import io.hornbeamfield.core.discovery.ZoneEvacuations;
import io.hornbeamfield.core.store.RewrittenEntries;
import io.hornbeamfield.core.store.StoreRevision;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.platform.EvacuationDecoder;
import io.hornbeamfield.platform.StoreList;
import io.hornbeamfield.platform.StoreObject;
import io.hornbeamfield.platform.WatchResult;
import java.time.Clock;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Publishes the availability zones that operators evacuate. */
final class EvacuationController implements StoreWatcher.Listener {
    /** Operators write again within seconds what the store has lost. */
    private static final long REWRITE_MS = 3_000;

    private final Clock clock;
    private final Blackboard blackboard;
    private final EventLog log;
    private final ScheduledExecutorService control;
    private final ZoneEvacuations evacuations;
    private final RewrittenEntries<Boolean> rewritten;
    private final Set<String> stored = new HashSet<>();
    private StoreRevision revision = StoreRevision.NONE;

    EvacuationController(ScheduledExecutorService control, Clock clock, Blackboard blackboard, EventLog log) {
        this.control = control;
        this.clock = clock;
        this.blackboard = blackboard;
        this.log = log;
        this.evacuations = new ZoneEvacuations(clock, blackboard::isKnownZone);
        this.rewritten = new RewrittenEntries<>(clock, REWRITE_MS);
    }

    @Override
    public void onList(StoreList list) {
        stored.clear();
        list.objects().forEach(o -> stored.add(o.name()));
        apply(list.revision());
        list.objects().forEach(this::logOddities);
        if (rewritten.isBeingRewritten()) {
            control.schedule(() -> apply(revision), REWRITE_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Applies what the store has at a revision. */
    private void apply(StoreRevision at) {
        revision = at;
        Map<String, Boolean> listed = stored.stream().collect(Collectors.toMap(Function.identity(), z -> true));
        evacuations.replaceAll(rewritten.listed(at, listed).keySet());
        publish(at.number());
    }

    @Override
    public void onChange(WatchResult.Change change) {
        StoreObject object = change.object();
        if (change.removed()) {
            stored.remove(object.name());
        } else {
            stored.add(object.name());
        }
        apply(object.revision());
        if (!change.removed()) {
            logOddities(object);
        }
    }

    private void publish(long revision) {
        Map<String, Long> before = blackboard.evacuatedSinceMs();
        Map<String, Long> next = evacuations.sinceMs();
        blackboard.evacuatedZones(next);
        next.keySet().stream()
                .filter(z -> !before.containsKey(z))
                .forEach(z -> log.event("evacuation-started")
                        .field("zone", z)
                        .field("knownZone", blackboard.isKnownZone(z) ? 1 : 0)
                        .field("revision", revision)
                        .write());
        before.forEach((z, since) -> {
            if (!next.containsKey(z)) {
                log.event("evacuation-ended")
                        .field("zone", z)
                        .field("ms", clock.millis() - since)
                        .field("revision", revision)
                        .write();
            }
        });
    }

    private void logOddities(StoreObject object) {
        if (!evacuations.sinceMs().containsKey(object.name())) {
            log.event("evacuation-ignored")
                    .field("zone", object.name())
                    .field("reason", "too many names that no zone has; remove the objects with such names")
                    .write();
        } else if (EvacuationDecoder.hasUndefinedContent(object)) {
            log.event("evacuation-content")
                    .field("zone", object.name())
                    .field("revision", object.revision().number())
                    .field("reason", "the content should be {}; the zone is evacuated until the object is removed")
                    .write();
        }
    }

    @Override
    public void onStoreLost(String reason) {
        // The last known evacuations remain in effect.
    }

    @Override
    public void onStoreRecovered(long ageMs) {
        // The next list or watch result contains the missed changes.
    }
}
