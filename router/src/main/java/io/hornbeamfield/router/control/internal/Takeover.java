package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.ledger.LedgerBatch;
import io.hornbeamfield.core.ledger.PendingWrite;
import io.hornbeamfield.core.ledger.TakeoverProcess;
import io.hornbeamfield.core.ledger.TakeoverStep;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.WriteResult;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/** Runs one {@link TakeoverProcess} against the platform and retries failed calls until the process has ended. */
final class Takeover {
    private final ControlContext context;
    private final LedgerReader reader;
    private final TakeoverProcess process;
    private final Consumer<TakeoverStep> onEnd;
    private final Backoff backoff = new Backoff(Duration.ofMillis(200), Duration.ofSeconds(5));

    /** The last step, {@code Granted} or {@code AlreadyBilled}, is passed to the consumer. */
    Takeover(ControlContext context, LedgerReader reader, TakeoverProcess process, Consumer<TakeoverStep> onEnd) {
        this.context = context;
        this.reader = reader;
        this.process = process;
        this.onEnd = onEnd;
    }

    void proceed() {
        TakeoverStep step = process.step();
        if (step instanceof TakeoverStep.Read read) {
            read(read);
        } else if (step instanceof TakeoverStep.Create create) {
            create(create.write());
        } else {
            onEnd.accept(step);
        }
    }

    private void read(TakeoverStep.Read read) {
        context.loop()
                .onDone(
                        reader.read(read.ledger(), read.afterSequence()),
                        found -> {
                            backoff.reset();
                            reader.cacheBatches(read.ledger(), read.afterSequence(), found.batches());
                            process.onRead(found.batches(), found.more());
                            proceed();
                        },
                        failure -> retry());
    }

    private void create(PendingWrite write) {
        context.loop()
                .onDone(
                        context.platform().write(write.objectKey(), 0, Json.tree(write.batch())),
                        this::created,
                        failure -> retry());
    }

    private void created(WriteResult result) {
        Optional<LedgerBatch> stored = reader.storedBatch(result);
        if (result instanceof WriteResult.Applied) {
            context.count("ledger.takeovers");
            process.onApplied();
        } else if (stored.isPresent()) {
            process.onConflict(stored.get());
        } else {
            retry();
            return;
        }
        backoff.reset();
        proceed();
    }

    private void retry() {
        context.count("ledger.takeoverRetries");
        context.loop().after(backoff.nextDelay(), this::proceed);
    }
}
