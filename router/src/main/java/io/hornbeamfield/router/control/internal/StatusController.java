package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.VersionedValue;
import io.hornbeamfield.net.platform.WriteResult;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;

/** Keeps this router's own status object on the platform. */
final class StatusController {
    /** 420 routers make 42 writes a second. */
    static final Duration RENEWAL_PERIOD = Duration.ofSeconds(10);

    private static final Logger LOG = Logger.getLogger(StatusController.class);

    private final ControlContext context;
    private final Backoff backoff = new Backoff(Duration.ofMillis(250), Duration.ofSeconds(5));
    private final CompletableFuture<Void> removed = new CompletableFuture<>();
    private RouterStatus status;
    private long version;
    private boolean writtenBefore;
    private boolean superseded;
    private boolean writing;
    private boolean writeAgain;
    private boolean removing;

    StatusController(ControlContext context, RouterStatus first) {
        this.context = context;
        this.status = first;
    }

    void start() {
        context.loop().every(RENEWAL_PERIOD, this::update);
    }

    /** Writes the status with the state that is on the blackboard now. */
    void update() {
        if (superseded || removing) {
            return;
        }
        if (writing) {
            writeAgain = true;
            return;
        }
        writing = true;
        status = status.renewed(context.blackboard().ownState());
        context.loop()
                .onDone(context.platform().write(status.key(), version, Json.tree(status)), this::written, failure -> {
                    writing = false;
                    retry();
                });
    }

    private void written(WriteResult result) {
        writing = false;
        if (result instanceof WriteResult.Applied applied) {
            version = applied.version();
            writtenBefore = true;
            backoff.succeeded();
            if (writeAgain) {
                writeAgain = false;
                update();
            }
        } else if (result instanceof WriteResult.Conflict conflict) {
            conflict(conflict.current());
        } else {
            retry();
        }
        removeIfAsked();
    }

    private void conflict(Optional<VersionedValue> current) {
        version = current.map(VersionedValue::version).orElse(0L);
        boolean foreign = current.filter(
                        c -> !c.value().path("incarnation").asText().equals(context.incarnation()))
                .isPresent();
        if (foreign && writtenBefore) {
            // The instance was replaced while this process was paused; the newer incarnation keeps the object.
            superseded = true;
            LOG.warnf("Another incarnation uses the instance id %s. Stop one of the two.", status.instanceId());
            return;
        }
        update();
    }

    private void retry() {
        removeIfAsked();
        if (!removing) {
            context.loop().after(backoff.failed(), this::update);
        }
    }

    /** Removes the object as the last act of a graceful stop. A failure is ignored: the object then ages. */
    CompletableFuture<Void> remove() {
        removing = true;
        removeIfAsked();
        return removed;
    }

    private void removeIfAsked() {
        if (!removing || writing || removed.isDone()) {
            return;
        }
        if (superseded || !writtenBefore) {
            removed.complete(null);
            return;
        }
        context.loop()
                .onDone(
                        context.platform().delete(status.key(), version),
                        result -> removed.complete(null),
                        failure -> removed.complete(null));
    }
}
