package io.hornbeamfield.entry.control;

import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.core.route.RouteConfig;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.platform.ConfigDecoder;
import io.hornbeamfield.platform.StoreClient;
import io.hornbeamfield.platform.StoreList;
import io.hornbeamfield.platform.StoreObject;
import io.hornbeamfield.platform.WatchReply;

/** Puts each newer configuration in force; an older one is never put in force again. */
final class ConfigController implements KindFollower.Listener {
    private final Blackboard blackboard;
    private final PrepaidHoldings book;
    private final EventLog log;
    private final Runnable onAdopted;

    ConfigController(Blackboard blackboard, PrepaidHoldings book, EventLog log, Runnable onAdopted) {
        this.blackboard = blackboard;
        this.book = book;
        this.log = log;
        this.onAdopted = onAdopted;
    }

    @Override
    public void onList(StoreList list) {
        list.objects().forEach(this::consider);
    }

    @Override
    public void onChange(WatchReply.Change change) {
        if (!change.removed()) {
            consider(change.object());
        }
    }

    private void consider(StoreObject object) {
        if (!object.name().equals(StoreClient.CURRENT)) {
            return;
        }
        RouteConfig next;
        try {
            next = ConfigDecoder.decode(object.content());
        } catch (IllegalArgumentException e) {
            log.event("config-rejected")
                    .field("revision", object.revision())
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
                    .field("revision", object.revision())
                    .write();
            onAdopted.run();
        }
    }

    @Override
    public void onStoreLost(String reason) {
        // The configuration in force stays in force.
    }

    @Override
    public void onStoreReturned() {
        // The next reply brings what was missed.
    }
}
