package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.ledger.LedgerBatch;
import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.core.ledger.LedgerRequestId;
import io.hornbeamfield.core.ledger.LedgerWriteResult;
import io.hornbeamfield.core.ledger.LedgerWriter;
import io.hornbeamfield.core.ledger.PendingWrite;
import io.hornbeamfield.core.ledger.TakeoverProcess;
import io.hornbeamfield.core.ledger.TakeoverStep;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.WriteResult;
import io.hornbeamfield.router.BillingService;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Writes this incarnation's ledger in batches and takes over the billing of requests that other incarnations accepted.
 */
final class LedgerController implements BillingService {
    /** 1,000 records of about 200 bytes are well below the platform's limit of 1 MB. */
    private static final int MAX_RECORDS = 1_000;
    /** Time for the router that took over a request to bill it, before this router checks whether it has to. */
    private static final Duration TAKEOVER_CHECK_DELAY = Duration.ofSeconds(10);

    /**
     * Flush period while no answer waits for its bill: a fleet of 420 routers then writes 210 batches a second. A
     * router that dies loses the bills of this period.
     */
    static final Duration UNAWAITED_FLUSH_PERIOD = Duration.ofSeconds(2);

    private static final Duration TAKEOVER_RETRY_DELAY = Duration.ofSeconds(1);

    private final ControlContext context;
    private final Duration flushPeriod;
    private final Supplier<String> batchIds = () -> UUID.randomUUID().toString();
    private final LedgerWriter writer;
    private final LedgerReader reader;
    private final Backoff backoff = new Backoff(Duration.ofMillis(200), Duration.ofSeconds(2));
    /** Futures of bills that are neither stored nor known to be stored elsewhere, by request id. */
    private final Map<String, CompletableFuture<Void>> pendingAnswers = new HashMap<>();

    private Instant lastWriteAt = Instant.EPOCH;
    private boolean flushScheduled;
    private boolean writing;
    private CompletableFuture<Void> drained = CompletableFuture.completedFuture(null);

    LedgerController(ControlContext context, Duration flushPeriod) {
        this.context = context;
        this.flushPeriod = flushPeriod;
        this.writer = new LedgerWriter(context.incarnation(), batchIds, MAX_RECORDS);
        this.reader = new LedgerReader(context);
    }

    @Override
    public CompletableFuture<Void> bill(Bill bill, Optional<String> foreignOwner) {
        CompletableFuture<Void> stored = new CompletableFuture<>();
        context.loop().execute(() -> accept(bill, foreignOwner, stored));
        return stored;
    }

    private void accept(Bill bill, Optional<String> foreignOwner, CompletableFuture<Void> stored) {
        CompletableFuture<Void> earlier = pendingAnswers.get(bill.requestId());
        if (earlier != null) {
            earlier.thenAccept(stored::complete);
            return;
        }
        if (drained.isDone()) {
            drained = new CompletableFuture<>();
        }
        pendingAnswers.put(bill.requestId(), stored);
        if (foreignOwner.isPresent()) {
            takeOver(bill, foreignOwner.get());
        } else if (writer.add(bill)) {
            scheduleFlush();
        } else {
            scheduleTakeover(bill, TAKEOVER_CHECK_DELAY);
        }
    }

    /** Schedules a write for when the flush period since the last one has passed. */
    private void scheduleFlush() {
        if (flushScheduled || writing) {
            return;
        }
        flushScheduled = true;
        Duration since = Duration.between(lastWriteAt, context.now());
        Duration delay = flushPeriod().minus(since);
        context.loop().after(delay.isNegative() ? Duration.ZERO : delay, this::flush);
    }

    private Duration flushPeriod() {
        boolean awaited = context.blackboard()
                .config()
                .filter(c -> c.preset().billWaitMs() == 0)
                .isEmpty();
        return awaited || flushPeriod.compareTo(UNAWAITED_FLUSH_PERIOD) > 0 ? flushPeriod : UNAWAITED_FLUSH_PERIOD;
    }

    private void flush() {
        flushScheduled = false;
        writer.nextWrite().ifPresent(write -> {
            writing = true;
            lastWriteAt = context.now();
            context.loop()
                    .onDone(
                            context.platform().write(write.objectKey(), 0, Json.tree(write.batch())),
                            result -> written(write, result),
                            failure -> writeOutcomeUnknown());
        });
    }

    private void written(PendingWrite write, WriteResult result) {
        Optional<LedgerBatch> stored = reader.storedBatch(result);
        if (result instanceof WriteResult.Applied) {
            context.metrics()
                    .counter("control.ledger.records")
                    .inc(write.batch().records().size());
            settled(writer.onApplied());
        } else if (stored.isPresent()) {
            settled(writer.onConflict(stored.get()));
        } else {
            writeOutcomeUnknown();
        }
    }

    private void writeOutcomeUnknown() {
        context.count("ledger.writeRetries");
        writer.onUnknownOutcome();
        flushScheduled = true;
        writing = false;
        context.loop().after(backoff.nextDelay(), this::flush);
    }

    private void settled(LedgerWriteResult bills) {
        writing = false;
        backoff.reset();
        bills.stored().forEach(this::stored);
        bills.takenOver().forEach(bill -> scheduleTakeover(bill, TAKEOVER_CHECK_DELAY));
        if (writer.pending() > 0) {
            scheduleFlush();
        }
    }

    private void stored(Bill bill) {
        CompletableFuture<Void> answer = pendingAnswers.remove(bill.requestId());
        if (answer != null) {
            answer.complete(null);
        }
        if (pendingAnswers.isEmpty()) {
            drained.complete(null);
        }
    }

    /** Checks after a delay whether another incarnation has billed the request, and bills it if not. */
    private void scheduleTakeover(Bill bill, Duration delay) {
        String owner =
                LedgerRequestId.parse(bill.requestId()).fold(LedgerRequestId::owner, refusal -> context.incarnation());
        context.loop().after(delay, () -> takeOver(bill, owner));
    }

    private void takeOver(Bill bill, String owner) {
        TakeoverProcess process = new TakeoverProcess(bill.requestId(), owner, context.incarnation(), batchIds);
        new Takeover(context, reader, process, end -> {
                    if (end instanceof TakeoverStep.Granted mine) {
                        billTakenOver(bill, mine);
                    } else {
                        context.count("ledger.alreadyBilled");
                        stored(bill);
                    }
                })
                .proceed();
    }

    private void billTakenOver(Bill bill, TakeoverStep.Granted mine) {
        if (writer.addTakenOver(bill, mine)) {
            scheduleFlush();
        } else {
            scheduleTakeover(bill, TAKEOVER_RETRY_DELAY);
        }
    }

    /** Completes when every bill is stored here or known to be stored elsewhere. */
    CompletableFuture<Void> flushed() {
        return drained;
    }

    /** Returns the number of bills that are not known to be stored. */
    int pending() {
        return pendingAnswers.size();
    }

    /** Returns the sequence number of the next batch. */
    long sequence() {
        return writer.sequence();
    }
}
