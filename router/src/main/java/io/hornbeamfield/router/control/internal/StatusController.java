package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.VersionedValue;
import io.hornbeamfield.net.platform.WriteResult;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;

/** Renews this router's status object on the platform. */
final class StatusController {
    /** A fleet of 420 routers makes 42 writes a second at this period. */
    static final Duration RENEWAL_PERIOD = Duration.ofSeconds(10);

    private static final Logger LOG = Logger.getLogger(StatusController.class);

    private final ControlContext context;
    private final Backoff backoff = new Backoff(Duration.ofMillis(250), Duration.ofSeconds(5));
    private final CompletableFuture<Void> removal = new CompletableFuture<>();
    private RouterStatus status;
    private long version;
    private boolean hasWritten;
    private boolean superseded;
    private boolean writing;
    private boolean updatePending;
    private boolean removing;

    StatusController(ControlContext context, RouterStatus initial) {
        this.context = context;
        this.status = initial;
    }

    void start() {
        context.loop().every(RENEWAL_PERIOD, this::update);
    }

    /** Writes the status with the router state that is currently on the blackboard. */
    void update() {
        if (superseded || removing) {
            return;
        }
        if (writing) {
            updatePending = true;
            return;
        }
        writing = true;
        status = status.renewed(context.blackboard().ownState());
        context.loop()
                .onDone(context.platform().write(status.key(), version, Json.tree(status)), this::written, failure -> {
                    writing = false;
                    scheduleRetry();
                });
    }

    private void written(WriteResult result) {
        writing = false;
        if (result instanceof WriteResult.Applied applied) {
            version = applied.version();
            hasWritten = true;
            backoff.reset();
            if (updatePending) {
                updatePending = false;
                update();
            }
        } else if (result instanceof WriteResult.Conflict conflict) {
            conflict(conflict.current());
        } else {
            scheduleRetry();
        }
        removeIfRequested();
    }

    private void conflict(Optional<VersionedValue> current) {
        version = current.map(VersionedValue::version).orElse(0L);
        boolean foreign = current.filter(
                        c -> !c.value().path("incarnation").asText().equals(context.incarnation()))
                .isPresent();
        if (foreign && hasWritten) {
            // A newer incarnation of the instance started while this process was paused; it keeps the object.
            superseded = true;
            LOG.warnf(
                    "Another incarnation uses the instance id %s. Stop one of the two processes.", status.instanceId());
            return;
        }
        update();
    }

    private void scheduleRetry() {
        removeIfRequested();
        if (!removing) {
            context.loop().after(backoff.nextDelay(), this::update);
        }
    }

    /**
     * Removes the object as the last step of a graceful shutdown. A failure is ignored, because other routers expire an
     * object that is no longer renewed.
     */
    CompletableFuture<Void> remove() {
        removing = true;
        removeIfRequested();
        return removal;
    }

    private void removeIfRequested() {
        if (!removing || writing || removal.isDone()) {
            return;
        }
        if (superseded || !hasWritten) {
            removal.complete(null);
            return;
        }
        context.loop()
                .onDone(
                        context.platform().delete(status.key(), version),
                        result -> removal.complete(null),
                        failure -> removal.complete(null));
    }
}
