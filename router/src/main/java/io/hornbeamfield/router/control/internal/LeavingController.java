package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.config.ServerState;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Graceful stop: announce, serve on while callers still use cached addresses, refuse new requests, let the open ones
 * finish, write all bills, return all tokens.
 */
final class LeavingController {
    /** Longer than the 15 s for which callers keep addresses; used when there is no configuration. */
    private static final Duration DEFAULT_DRAIN = Duration.ofSeconds(20);

    private static final Duration CHECK_PERIOD = Duration.ofMillis(100);
    /** With the platform away for longer than this, bills and tokens that are only in memory are given up. */
    static final Duration SETTLE_LIMIT = Duration.ofMinutes(5);

    private static final Logger LOG = Logger.getLogger(LeavingController.class);

    private final ControlContext context;
    private final IntSupplier inFlight;
    private final AllotmentController allotments;
    private final LedgerController ledger;
    private final OrdersLease lease;
    private final StatusController status;
    private final Runnable announced;
    private @Nullable CompletableFuture<Void> done;
    private boolean settled;

    LeavingController(
            ControlContext context,
            IntSupplier inFlight,
            AllotmentController allotments,
            LedgerController ledger,
            OrdersLease lease,
            StatusController status,
            Runnable announced) {
        this.context = context;
        this.inFlight = inFlight;
        this.allotments = allotments;
        this.ledger = ledger;
        this.lease = lease;
        this.status = status;
        this.announced = announced;
    }

    /** Starts to leave; the future completes when the process may exit. Called on the control thread. */
    CompletableFuture<Void> leave() {
        CompletableFuture<Void> future = done;
        if (future != null) {
            return future;
        }
        future = new CompletableFuture<>();
        done = future;
        context.blackboard().publishOwnState(ServerState.LEAVING);
        announced.run();
        status.update();
        lease.release();
        Duration drain = context.blackboard()
                .config()
                .map(c -> Duration.ofSeconds(c.preset().drainSeconds()))
                .orElse(DEFAULT_DRAIN);
        LOG.infof("This router is leaving; it takes new requests for another %d s.", drain.toSeconds());
        context.loop().after(drain, this::refuse);
        return future;
    }

    private void refuse() {
        context.blackboard().publishRefusingNewWork(true);
        waitForRequests();
    }

    private void waitForRequests() {
        if (inFlight.getAsInt() > 0) {
            context.loop().after(CHECK_PERIOD, this::waitForRequests);
            return;
        }
        context.loop().after(SETTLE_LIMIT, () -> {
            if (!settled) {
                LOG.errorf(
                        "The platform did not take %d bills and the returned tokens within %d s. Release the holder %s.",
                        ledger.pending(), SETTLE_LIMIT.toSeconds(), context.incarnation());
                remove();
            }
        });
        CompletableFuture<Void> all = CompletableFuture.allOf(ledger.flushed(), allotments.close());
        context.loop().onDone(all, nothing -> remove(), failure -> remove());
    }

    private void remove() {
        if (settled) {
            return;
        }
        settled = true;
        context.loop().onDone(status.remove(), nothing -> finish(), failure -> finish());
    }

    private void finish() {
        LOG.info("This router has left.");
        if (done != null) {
            done.complete(null);
        }
    }
}
