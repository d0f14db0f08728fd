package io.hornbeamfield.entry.control;

import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.core.route.RouteConfig;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.platform.ColdPhaseDecoder;
import io.hornbeamfield.platform.ConfigDecoder;
import io.hornbeamfield.platform.StoreClient;
import io.hornbeamfield.platform.StoreList;
import io.hornbeamfield.platform.StoreObject;
import io.hornbeamfield.platform.WatchResult;
import java.time.Clock;

/** Adopts each newer configuration; a version that is not newer than the active one is ignored. */
final class ConfigController implements StoreWatcher.Listener {
    private final Clock clock;
    private final Blackboard blackboard;
    private final PrepaidHoldings book;
    private final EventLog log;
    private final Runnable onAdopted;
    private final boolean regionsDeclared;
    private long answerGapMs;

    /**
     * Creates a controller.
     *
     * @param regionsDeclared whether the deployment declares the regions of its zones, without which home regions have
     *     no effect
     */
    ConfigController(
            Clock clock,
            Blackboard blackboard,
            PrepaidHoldings book,
            EventLog log,
            Runnable onAdopted,
            boolean regionsDeclared) {
        this.clock = clock;
        this.blackboard = blackboard;
        this.regionsDeclared = regionsDeclared;
        this.book = book;
        this.log = log;
        this.onAdopted = onAdopted;
    }

    @Override
    public void onList(StoreList list) {
        list.objects().forEach(o -> adoptIfNewer(o, "list"));
    }

    @Override
    public void onChange(WatchResult.Change change) {
        if (!change.removed()) {
            adoptIfNewer(change.object(), "watch");
        }
    }

    private void adoptIfNewer(StoreObject object, String source) {
        if (!object.name().equals(StoreClient.CURRENT_CONFIGURATION)) {
            return;
        }
        RouteConfig next;
        try {
            next = ConfigDecoder.decode(object.content());
        } catch (IllegalArgumentException e) {
            log.event("config-rejected")
                    .field("revision", object.revision().number())
                    .field("reason", String.valueOf(e.getMessage()))
                    .write();
            return;
        }
        long current = blackboard.config().map(RouteConfig::version).orElse(Long.MIN_VALUE);
        if (next.version() > current) {
            book.updateTotals(next.workspaces());
            blackboard.config(next);
            log.event("config-adopted")
                    .field("version", next.version())
                    .field("revision", object.revision().number())
                    .field("by", source)
                    .field("sinceLastAnswerMs", answerGapMs)
                    .write();
            ColdPhaseDecoder.problems(object.content())
                    .forEach(p -> log.event("config-field-invalid")
                            .field("version", next.version())
                            .field("problem", p)
                            .write());
            if (next.hasHomeRegions() && !regionsDeclared) {
                log.event("home-regions-ignored")
                        .field("version", next.version())
                        .field("reason", "set deployment.regionsByZone in the settings file")
                        .write();
            }
            onAdopted.run();
        }
    }

    @Override
    public void onStoreLost(String reason) {
        // The active configuration remains in use.
    }

    @Override
    public void onStoreRecovered(long ageMs) {
        // What began to arrive earlier may have changed since, so it confirms no later state.
        long confirmedMs = clock.millis() - ageMs;
        long lastMs = blackboard.configConfirmedMs();
        answerGapMs = lastMs == 0 ? 0 : clock.millis() - lastMs;
        blackboard.configConfirmed(confirmedMs);
    }
}
