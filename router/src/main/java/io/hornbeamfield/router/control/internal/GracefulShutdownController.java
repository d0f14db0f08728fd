package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.config.ServerState;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Shuts the router down gracefully: announces the leaving state, keeps serving while callers still use cached
 * addresses, refuses new requests, waits for in-flight ones, writes all bills and returns all tokens.
 */
final class GracefulShutdownController {
    /** Longer than the 15 s for which callers cache addresses; used when there is no configuration. */
    private static final Duration DEFAULT_DRAIN = Duration.ofSeconds(20);

    private static final Duration CHECK_PERIOD = Duration.ofMillis(100);
    /** If the platform is unavailable for longer than this, bills and tokens that are only in memory are abandoned. */
    static final Duration SETTLE_LIMIT = Duration.ofMinutes(5);

    private static final Logger LOG = Logger.getLogger(GracefulShutdownController.class);

    private final ControlContext context;
    private final IntSupplier inFlight;
    private final AllotmentController allotments;
    private final LedgerController ledger;
    private final OrdersLease lease;
    private final StatusController status;
    private final Runnable onLeaving;
    private @Nullable CompletableFuture<Void> completion;
    private boolean settled;

    GracefulShutdownController(
            ControlContext context,
            IntSupplier inFlight,
            AllotmentController allotments,
            LedgerController ledger,
            OrdersLease lease,
            StatusController status,
            Runnable onLeaving) {
        this.context = context;
        this.inFlight = inFlight;
        this.allotments = allotments;
        this.ledger = ledger;
        this.lease = lease;
        this.status = status;
        this.onLeaving = onLeaving;
    }

    /** Starts the shutdown; the future completes when the process may exit. Called on the control thread. */
    CompletableFuture<Void> leave() {
        CompletableFuture<Void> future = completion;
        if (future != null) {
            return future;
        }
        future = new CompletableFuture<>();
        completion = future;
        context.blackboard().publishOwnState(ServerState.LEAVING);
        onLeaving.run();
        status.update();
        lease.release();
        Duration drain = context.blackboard()
                .config()
                .map(c -> Duration.ofSeconds(c.preset().drainSeconds()))
                .orElse(DEFAULT_DRAIN);
        LOG.infof("This router is leaving; it accepts new requests for another %d s.", drain.toSeconds());
        context.loop().after(drain, this::refuseNewRequests);
        return future;
    }

    private void refuseNewRequests() {
        context.blackboard().publishRefusingNewWork(true);
        settleWhenIdle();
    }

    private void settleWhenIdle() {
        if (inFlight.getAsInt() > 0) {
            context.loop().after(CHECK_PERIOD, this::settleWhenIdle);
            return;
        }
        context.loop().after(SETTLE_LIMIT, () -> {
            if (!settled) {
                LOG.errorf(
                        "The platform did not take %d bills and the returned tokens within %d s. Release the holder %s.",
                        ledger.pending(), SETTLE_LIMIT.toSeconds(), context.incarnation());
                removeStatus();
            }
        });
        CompletableFuture<Void> all = CompletableFuture.allOf(ledger.flushed(), allotments.close());
        context.loop().onDone(all, nothing -> removeStatus(), failure -> removeStatus());
    }

    private void removeStatus() {
        if (settled) {
            return;
        }
        settled = true;
        context.loop().onDone(status.remove(), nothing -> finish(), failure -> finish());
    }

    private void finish() {
        LOG.info("Graceful shutdown completed.");
        if (completion != null) {
            completion.complete(null);
        }
    }
}
