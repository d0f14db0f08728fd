package io.hornbeamfield.core.search;

import io.hornbeamfield.core.budget.Allotment;
import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.budget.BudgetUpdate;
import io.hornbeamfield.core.budget.BudgetUpdate.Kind;
import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.identity.Admission;
import io.hornbeamfield.core.identity.RegistryLimits;
import io.hornbeamfield.core.identity.RequestRegistry;
import io.hornbeamfield.core.ledger.LedgerBatch;
import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.core.ledger.LedgerRequestId;
import io.hornbeamfield.core.ledger.LedgerWriteResult;
import io.hornbeamfield.core.ledger.LedgerWriter;
import io.hornbeamfield.core.ledger.PendingWrite;
import io.hornbeamfield.core.ledger.TakeoverProcess;
import io.hornbeamfield.core.ledger.TakeoverStep;
import io.hornbeamfield.core.result.Ran;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** A router incarnation that drives the production decision logic with the messages of a {@link Simulation}. */
final class RouterModel {
    enum Answer {
        COMPLETE,
        NOT_RUN,
        UNKNOWN
    }

    record Running(Request request, Reservation reservation, int budget) {}

    /** A bill whose takeover is in progress. */
    static final class Takeover {
        final Bill bill;
        final TakeoverProcess process;
        int operation;

        Takeover(Bill bill, TakeoverProcess process) {
            this.bill = bill;
            this.process = process;
        }
    }

    final Simulation simulation;
    final int index;
    final String incarnation;
    final Allotment[] allotments;
    final BudgetRecord[] seen;
    final long[] seenVersion;
    final int[] busy;
    final RequestRegistry<String> registry;
    final LedgerWriter writer;
    final Deque<Running> running = new ArrayDeque<>();
    final Deque<Takeover> takeovers = new ArrayDeque<>();
    final Map<String, Integer> refusals = new HashMap<>();
    final Set<String> creditedTransfers = new HashSet<>();
    boolean crashed;
    boolean paused;
    private int ledgerOperation;

    RouterModel(Simulation simulation, int index, int budgets) {
        this.simulation = simulation;
        this.index = index;
        incarnation = "r" + index + "-0000000" + index;
        allotments = new Allotment[budgets];
        seen = new BudgetRecord[budgets];
        seenVersion = new long[budgets];
        busy = new int[budgets];
        for (int b = 0; b < budgets; b++) {
            allotments[b] = new Allotment("b" + b, incarnation);
            observe(b, simulation.platform.get("budgets/b" + b, 0));
        }
        var limits = new RegistryLimits(2, 12, 12, Duration.ofSeconds(600));
        registry = new RequestRegistry<>(incarnation, simulation.clock, limits, String::length);
        writer = new LedgerWriter(incarnation, simulation::nextBatchId, 2);
    }

    boolean active() {
        return !crashed && !paused;
    }

    // Budgets

    boolean update(int b, Optional<BudgetUpdate> planned) {
        if (planned.isEmpty()) {
            return false;
        }
        BudgetUpdate update = planned.get();
        long version = seenVersion[b];
        int operation = simulation.nextOperation();
        busy[b] = operation;
        simulation.mechanisms.sent(allotments[b], update, version);
        simulation.toPlatform("update " + update.kind() + " by " + index, () -> {
            boolean applied = simulation.platform.put("budgets/b" + b, version, update.record());
            if (applied && update.kind() == Kind.CLOSE) {
                simulation.markFolded(index, b);
            }
            Platform.Versioned current = simulation.platform.get("budgets/b" + b, 0);
            simulation.send("budget answer", index, () -> {
                answered(b, operation, current);
                if (applied && update.kind() == Kind.RETURN) {
                    simulation.mechanisms.returned(allotments[b], update);
                }
            });
        });
        return true;
    }

    boolean read(int b, int behind) {
        int operation = simulation.nextOperation();
        busy[b] = operation;
        simulation.toPlatform("read by " + index, () -> {
            Platform.Versioned value = simulation.platform.get("budgets/b" + b, behind);
            simulation.send("read answer", index, () -> answered(b, operation, value));
        });
        return true;
    }

    private void answered(int b, int operation, Platform.Versioned value) {
        if (busy[b] == operation) {
            busy[b] = 0;
        }
        observe(b, value);
    }

    private void observe(int b, Platform.Versioned value) {
        seen[b] = (BudgetRecord) value.value();
        seenVersion[b] = value.version();
        allotments[b].observe(seen[b], value.version());
    }

    // Requests

    void handle(Request request, Consumer<Answer> reply) {
        boolean own = request.key.owner().equals(incarnation);
        RouterModel owner = simulation.routers[request.owner];
        if (!own && simulation.reachable(index, request.owner)) {
            simulation.send("relay", request.owner, () -> owner.handle(request, reply));
            return;
        }
        if (!own && !request.repeatable) {
            reply.accept(Answer.UNKNOWN);
            return;
        }
        String scope = simulation.mechanisms.scope(request.key, refusals.getOrDefault(request.key.text(), 0));
        Admission<String> admission = own
                ? registry.admit(request.key, scope, "f")
                : registry.admitForUnreachableOwner(request.key, scope, "f");
        if (admission instanceof Admission.Run<String>) {
            run(request, scope, reply);
        } else if (admission instanceof Admission.Join<String> join) {
            join.result()
                    .thenAccept(end -> end.fold(done -> answer(reply, Answer.COMPLETE), r -> answer(reply, of(r))));
        } else if (admission instanceof Admission.Replay<String>) {
            reply.accept(Answer.COMPLETE);
        } else if (admission instanceof Admission.Refused<String> refused) {
            reply.accept(of(refused.refusal()));
        }
    }

    private static Answer of(Refusal refusal) {
        return refusal.code().ran() == Ran.NO ? Answer.NOT_RUN : Answer.UNKNOWN;
    }

    private static boolean answer(Consumer<Answer> reply, Answer answer) {
        reply.accept(answer);
        return true;
    }

    private void run(Request request, String scope, Consumer<Answer> reply) {
        Optional<Reservation> reservation = allotments[request.budget].reserve(request.tokens);
        if (reservation.isEmpty()) {
            refusals.merge(request.key.text(), 1, Integer::sum);
            Refusal refusal = Refusal.of(ResultCode.BUDGET_BUSY, "test");
            reply.accept(of(registry.refuse(request.key, scope, "f", refusal)));
            return;
        }
        request.runs++;
        running.add(new Running(request, reservation.get(), request.budget));
        replies.computeIfAbsent(request, r -> new ArrayList<>()).add(reply);
    }

    private final Map<Request, List<Consumer<Answer>>> replies = new HashMap<>();

    boolean finish(boolean inFull) {
        Running r = running.poll();
        if (r == null) {
            return false;
        }
        long used = inFull ? r.reservation().tokens() : r.reservation().tokens() / 2;
        allotments[r.budget()].settle(r.reservation(), used);
        Request request = r.request();
        request.completedAt.add(index);
        registry.complete(
                request.key,
                simulation.mechanisms.scope(request.key, refusals.getOrDefault(request.key.text(), 0)),
                "outcome");
        bill(
                new Bill(
                        new LedgerRequestId(request.key, "w").text(), "w", "b" + r.budget(), used, "model", "complete"),
                request.owner);
        List<Consumer<Answer>> waiting = replies.remove(request);
        if (waiting != null) {
            waiting.forEach(reply -> reply.accept(Answer.COMPLETE));
        }
        return true;
    }

    // Billing

    private void bill(Bill bill, int owner) {
        if (owner == index || !simulation.mechanisms.takesOverBeforeBilling()) {
            if (!writer.add(bill)) {
                followUpDropped(List.of(bill));
            }
        } else {
            takeOver(bill, simulation.routers[owner].incarnation);
        }
    }

    private void takeOver(Bill bill, String owner) {
        takeovers.add(
                new Takeover(bill, new TakeoverProcess(bill.requestId(), owner, incarnation, simulation::nextBatchId)));
    }

    private void followUpDropped(List<Bill> bills) {
        if (simulation.mechanisms.followsUpDroppedBills()) {
            bills.forEach(b -> takeOver(
                    b, LedgerRequestId.parse(b.requestId()).fold(LedgerRequestId::owner, refusal -> incarnation)));
        }
    }

    boolean flush() {
        Optional<PendingWrite> next = writer.nextWrite();
        if (next.isEmpty()) {
            return false;
        }
        int operation = simulation.nextOperation();
        ledgerOperation = operation;
        create(next.get(), stored -> {
            if (ledgerOperation == operation) {
                ledgerOperation = 0;
                LedgerWriteResult settled =
                        stored.isEmpty() ? writer.onApplied() : simulation.mechanisms.conflict(writer, stored.get());
                followUpDropped(settled.takenOver());
            }
        });
        return true;
    }

    boolean ledgerTimeout() {
        if (ledgerOperation == 0) {
            return false;
        }
        ledgerOperation = 0;
        writer.onUnknownOutcome();
        return true;
    }

    boolean takeoverStep(int behind) {
        Takeover t =
                takeovers.stream().filter(x -> x.operation == 0).findFirst().orElse(null);
        if (t == null) {
            return false;
        }
        TakeoverStep step = t.process.step();
        int operation = simulation.nextOperation();
        if (step instanceof TakeoverStep.Read read) {
            t.operation = operation;
            simulation.toPlatform("list by " + index, () -> {
                List<LedgerBatch> batches = simulation.list(read.ledger(), read.afterSequence(), behind);
                simulation.send(
                        "list answer", index, () -> ifCurrent(t, operation, () -> t.process.onRead(batches, false)));
            });
        } else if (step instanceof TakeoverStep.Create c) {
            t.operation = operation;
            create(
                    c.write(),
                    stored -> ifCurrent(
                            t, operation, () -> stored.ifPresentOrElse(t.process::onConflict, t.process::onApplied)));
        } else {
            takeovers.remove(t);
            if (step instanceof TakeoverStep.Granted mine
                    && !simulation.mechanisms.billTakenOver(writer, t.bill, mine)) {
                followUpDropped(List.of(t.bill));
            }
        }
        return true;
    }

    boolean takeoverTimeout() {
        Takeover t =
                takeovers.stream().filter(x -> x.operation != 0).findFirst().orElse(null);
        if (t == null) {
            return false;
        }
        t.operation = 0;
        takeovers.remove(t);
        takeovers.add(t);
        return true;
    }

    private static void ifCurrent(Takeover t, int operation, Runnable action) {
        if (t.operation == operation) {
            t.operation = 0;
            action.run();
        }
    }

    private void create(PendingWrite write, Consumer<Optional<LedgerBatch>> answered) {
        simulation.toPlatform("create by " + index, () -> {
            Optional<LedgerBatch> stored = simulation.createBatch(write);
            simulation.send("create answer", index, () -> answered.accept(stored));
        });
    }
}
