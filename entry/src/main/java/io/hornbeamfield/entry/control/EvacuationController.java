package io.hornbeamfield.entry.control;

import io.hornbeamfield.core.discovery.ZoneEvacuations;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.platform.EvacuationDecoder;
import io.hornbeamfield.platform.StoreList;
import io.hornbeamfield.platform.StoreObject;
import io.hornbeamfield.platform.WatchResult;
import java.time.Clock;
import java.util.Map;

/** Publishes the availability zones that operators evacuate. */
final class EvacuationController implements StoreWatcher.Listener {
    private final Clock clock;
    private final Blackboard blackboard;
    private final EventLog log;
    private final ZoneEvacuations evacuations;

    EvacuationController(Clock clock, Blackboard blackboard, EventLog log) {
        this.clock = clock;
        this.blackboard = blackboard;
        this.log = log;
        this.evacuations = new ZoneEvacuations(clock, blackboard::isKnownZone);
    }

    @Override
    public void onList(StoreList list) {
        evacuations.replaceAll(list.objects().stream().map(StoreObject::name).toList());
        list.objects().forEach(this::logOddities);
        publish(list.revision().number());
    }

    @Override
    public void onChange(WatchResult.Change change) {
        StoreObject object = change.object();
        if (change.removed()) {
            evacuations.end(object.name());
        } else {
            evacuations.begin(object.name());
            logOddities(object);
        }
        publish(object.revision().number());
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
