package io.hornbeamfield.core.search;

import io.hornbeamfield.core.budget.Allotment;
import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.budget.HolderEntry;
import io.hornbeamfield.core.budget.TransferGrant;
import io.hornbeamfield.core.identity.RequestKey;
import io.hornbeamfield.core.ledger.LedgerBatch;
import io.hornbeamfield.core.ledger.LedgerRecord;
import io.hornbeamfield.core.ledger.LedgerRequestId;
import io.hornbeamfield.core.ledger.PendingWrite;
import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Simulates routers, clients, the platform and the messages between them, and checks the invariants. */
final class Simulation {
    static final int PLATFORM = -1;
    static final int CLIENTS = -2;
    static final long GRANTED = 60;

    /** The dimensions of a simulation, and the tokens that each router initially takes from each budget. */
    record Size(int routers, int budgets, int requests, long taken) {}

    record Message(String label, int target, Runnable deliver) {}

    final Mechanisms mechanisms;
    final Platform platform = new Platform();
    final ManualClock clock = ManualClock.atEpochSecond(1_000);
    final RouterModel[] routers;
    final List<Request> requests = new ArrayList<>();
    final List<Message> messages = new ArrayList<>();
    private final long[] granted;
    private final boolean[][] folded;
    private final long[] stranded;
    private final boolean[][] partitioned;
    /** Tokens debited at the sender of a transfer and not yet credited at the receiver, by transfer id. */
    private final List<Map<String, Long>> inFlightTransfers = new ArrayList<>();

    private final Map<String, Request> byLedgerId = new HashMap<>();
    private int serial;

    Simulation(Size size, Mechanisms mechanisms) {
        this.mechanisms = mechanisms;
        granted = new long[size.budgets()];
        for (int b = 0; b < size.budgets(); b++) {
            inFlightTransfers.add(new HashMap<>());
            platform.put("budgets/b" + b, 0, BudgetRecord.create("b" + b));
            topUp(b, "first", GRANTED);
        }
        stranded = new long[size.budgets()];
        routers = new RouterModel[size.routers()];
        folded = new boolean[size.routers()][size.budgets()];
        partitioned = new boolean[size.routers()][size.routers()];
        for (int r = 0; r < size.routers(); r++) {
            routers[r] = new RouterModel(this, r, size.budgets());
        }
        for (RouterModel r : routers) {
            for (int b = 0; b < size.budgets() && size.taken() > 0; b++) {
                r.read(b, 0);
                deliverAll();
                r.update(b, r.allotments[b].planTake(r.seen[b], size.taken()));
                deliverAll();
            }
        }
        for (int k = 0; k < size.requests(); k++) {
            int owner = k % 2;
            RequestKey key = new RequestKey(routers[owner].incarnation, 1_000, "request" + k);
            Request request = new Request(key, owner, k % size.budgets(), 10 + 5L * (k % 3), k % 3 != 2);
            requests.add(request);
            byLedgerId.put(new LedgerRequestId(key, "w").text(), request);
        }
    }

    String nextBatchId() {
        return "batch" + nextOperation();
    }

    int nextOperation() {
        return ++serial;
    }

    void send(String label, int target, Runnable deliver) {
        messages.add(new Message(label, target, deliver));
    }

    void toPlatform(String label, Runnable deliver) {
        send(label, PLATFORM, deliver);
    }

    boolean reachable(int from, int to) {
        return !partitioned[from][to] && routers[to].active();
    }

    void markFolded(int router, int budget) {
        folded[router][budget] = true;
    }

    /** Performs a step and returns whether it was possible. */
    boolean perform(Step step) {
        RouterModel r = routers[step.a() % routers.length];
        int b = step.b() % granted.length;
        return switch (step.kind()) {
            case DELIVER -> deliver(step.a(), false);
            case DUPLICATE -> deliver(step.a(), true);
            case DROP -> !messages.isEmpty() && messages.remove(step.a() % messages.size()) != null;
            case SEND -> attempt(step.b() % Math.max(1, requests.size()), step.a() % routers.length);
            case GIVE_UP -> giveUp(step.b() % Math.max(1, requests.size()));
            case TOP_UP -> topUp(b, "top-up" + step.c() % 2, 20);
            case ADVANCE -> advance(Duration.ofSeconds(250));
            case CRASH -> !r.crashed && (r.crashed = true);
            case PAUSE -> r.active() && (r.paused = true);
            case RELEASE -> r.crashed && release(r, b);
            case RESUME -> !r.crashed && r.paused && !(r.paused = false);
            case PARTITION -> partition(step.a() % routers.length, step.b() % routers.length);
            case FINISH, TAKE, RETURN, READ, TRANSFER, FLUSH, TAKEOVER, TIMEOUT, CLOSE ->
                r.active() && routerStep(step, r, b);
        };
    }

    private boolean routerStep(Step step, RouterModel r, int b) {
        Allotment allotment = r.allotments[b];
        long tokens = 5 + 5L * (step.c() % 4);
        return switch (step.kind()) {
            case FINISH -> r.finish(step.c() % 2 == 0);
            case TAKE -> r.busy[b] == 0 && r.update(b, allotment.planTake(r.seen[b], tokens));
            case RETURN ->
                r.busy[b] == 0
                        && r.update(
                                b,
                                mechanisms.planReturn(allotment, r.incarnation, r.seen[b], step.c() == 0 ? 0 : tokens));
            case READ -> r.busy[b] == 0 && r.read(b, step.c() % 3);
            case CLOSE -> r.busy[b] == 0 && r.update(b, mechanisms.planClose(allotment, r.incarnation, r.seen[b]));
            case TRANSFER -> transfer(r, routers[step.c() % routers.length], b, tokens);
            case FLUSH -> r.flush();
            case TAKEOVER -> r.takeoverStep(step.c() % 3);
            case TIMEOUT ->
                switch (step.c() % 3) {
                    case 0 -> r.ledgerTimeout();
                    case 1 -> r.takeoverTimeout();
                    default -> r.busy[b] != 0 && (r.busy[b] = 0) == 0;
                };
            default -> throw new IllegalArgumentException(step.toString());
        };
    }

    private boolean deliver(int index, boolean keep) {
        if (messages.isEmpty()) {
            return false;
        }
        int i = index % messages.size();
        Message m = messages.get(i);
        if (m.target() >= 0 && routers[m.target()].paused && !routers[m.target()].crashed) {
            return false;
        }
        if (!keep) {
            messages.remove(i);
        }
        if (m.target() < 0 || !routers[m.target()].crashed) {
            m.deliver().run();
        }
        return true;
    }

    private boolean advance(Duration time) {
        clock.advance(time);
        return true;
    }

    private boolean partition(int from, int to) {
        partitioned[from][to] = !partitioned[from][to];
        return from != to;
    }

    private boolean topUp(int b, String id, long tokens) {
        Platform.Versioned current = platform.get("budgets/b" + b, 0);
        BudgetRecord before = (BudgetRecord) current.value();
        BudgetRecord after = before.withTopUp(id, tokens);
        if (after == before) {
            return false;
        }
        granted[b] += tokens;
        return platform.put("budgets/b" + b, current.version(), after);
    }

    /**
     * Releases the entry of a crashed router, as an operator does. Its open reservations count as used in full, and
     * tokens that it received without having recorded them are stranded.
     */
    private boolean release(RouterModel r, int b) {
        Platform.Versioned current = platform.get("budgets/b" + b, 0);
        BudgetRecord record = (BudgetRecord) current.value();
        HolderEntry stored = record.holders().get(r.incarnation);
        if (stored == null) {
            return false;
        }
        HolderEntry real = r.allotments[b].counters();
        long used = mechanisms.released(real, stored) + r.allotments[b].reserved();
        folded[r.index][b] = true;
        stranded[b] += r.allotments[b].reserved() + real.receivedIn() - stored.receivedIn();
        return platform.put("budgets/b" + b, current.version(), record.withRelease(r.incarnation, used));
    }

    private boolean transfer(RouterModel to, RouterModel from, int b, long tokens) {
        if (to == from) {
            return false;
        }
        String id = "transfer" + nextOperation();
        to.allotments[b].expectTransfer(id);
        send("transfer request", from.index, () -> {
            Optional<TransferGrant> grant = from.allotments[b].sendTransfer(id, tokens);
            if (grant.isPresent()) {
                // A duplicated request gets the same grant, whose tokens are debited at the sender only once.
                if (!to.creditedTransfers.contains(id)) {
                    inFlightTransfers.get(b).put(id, grant.get().tokens());
                }
                send("transfer grant", to.index, () -> {
                    if (mechanisms.receive(to.allotments[b], grant.get())) {
                        inFlightTransfers.get(b).remove(id);
                        to.creditedTransfers.add(id);
                    }
                });
            }
        });
        return true;
    }

    private boolean attempt(int k, int router) {
        if (requests.isEmpty()) {
            return false;
        }
        Request request = requests.get(k);
        if (request.waiting || request.done) {
            return false;
        }
        int to = request.attempt == 0 ? request.owner : router;
        int attempt = ++request.attempt;
        request.waiting = true;
        send(
                "attempt " + attempt + " of " + k,
                to,
                () -> routers[to].handle(
                        request, answer -> send("answer to " + k, CLIENTS, () -> answered(request, attempt, answer))));
        return true;
    }

    private static void answered(Request request, int attempt, RouterModel.Answer answer) {
        if (!request.waiting || request.attempt != attempt) {
            return;
        }
        request.waiting = false;
        switch (answer) {
            case COMPLETE -> request.done = true;
            case UNKNOWN -> request.outcomeUnknown = true;
            case NOT_RUN -> {
                request.done = true;
                request.refusedAsNotRun = !request.outcomeUnknown;
            }
            default -> throw new IllegalArgumentException(answer.toString());
        }
    }

    private boolean giveUp(int k) {
        if (requests.isEmpty() || !requests.get(k).waiting) {
            return false;
        }
        requests.get(k).waiting = false;
        return requests.get(k).outcomeUnknown = true;
    }

    // Ledgers

    List<LedgerBatch> list(String ledger, long after, int behind) {
        List<LedgerBatch> batches = new ArrayList<>();
        for (long s = after + 1; platform.exists(PendingWrite.objectKey(ledger, s)); s++) {
            batches.add((LedgerBatch)
                    platform.get(PendingWrite.objectKey(ledger, s), 0).value());
        }
        return batches.subList(0, Math.max(0, batches.size() - behind));
    }

    Optional<LedgerBatch> createBatch(PendingWrite write) {
        if (!platform.put(write.objectKey(), 0, write.batch())) {
            return Optional.of((LedgerBatch) platform.get(write.objectKey(), 0).value());
        }
        for (LedgerRecord entry : write.batch().records()) {
            if (entry instanceof LedgerRecord.Bill bill) {
                byLedgerId.get(bill.requestId()).bills++;
            }
        }
        return Optional.empty();
    }

    // Invariants

    void check() {
        for (int b = 0; b < granted.length; b++) {
            checkBudget(b);
        }
        for (Request request : requests) {
            String id = request.key.text();
            Violation.throwUnless(request.bills <= 1, "%s has %d bills", id, request.bills);
            Violation.throwUnless(
                    !request.refusedAsNotRun || request.runs == 0, "%s ran but was refused as not run", id);
            Violation.throwUnless(request.repeatable || request.runs <= 1, "%s ran %d times", id, request.runs);
        }
    }

    private void checkBudget(int b) {
        BudgetRecord record = (BudgetRecord) platform.get("budgets/b" + b, 0).value();
        long produced = 0;
        long sum = record.free()
                + stranded[b]
                + inFlightTransfers.get(b).values().stream()
                        .mapToLong(Long::longValue)
                        .sum();
        for (RouterModel r : routers) {
            HolderEntry own = r.allotments[b].counters();
            produced += own.spent() + r.allotments[b].reserved();
            if (folded[r.index][b]) {
                sum += own.spent();
                continue;
            }
            HolderEntry stored = record.holder(r.incarnation);
            Violation.throwUnless(stored.taken() >= own.taken(), "router %d credited an unconfirmed take", r.index);
            Violation.throwUnless(own.returned() >= stored.returned(), "router %d returned without a debit", r.index);
            sum += stored.taken() - own.taken() + own.held() + own.spent() + own.returned() - stored.returned();
        }
        Violation.throwUnless(record.free() >= 0, "budget %d has %d tokens free", b, record.free());
        Violation.throwUnless(produced <= granted[b], "budget %d: %d tokens used of %d", b, produced, granted[b]);
        Violation.throwUnless(sum == granted[b], "budget %d: %d tokens exist of %d granted", b, sum, granted[b]);
    }

    /** Ends all failures, lets every router that did not crash drain and close, and checks the final state. */
    void quiesce() {
        for (RouterModel r : routers) {
            r.paused = false;
        }
        for (int round = 0; round < 400 && quiesceRound(); round++) {
            check();
        }
        for (Request request : requests) {
            boolean completed = request.completedAt.stream().anyMatch(r -> !routers[r].crashed);
            Violation.throwUnless(
                    !completed || request.bills == 1, "%s has %d bills", request.key.text(), request.bills);
        }
        for (int b = 0; b < granted.length; b++) {
            for (RouterModel r : routers) {
                Violation.throwUnless(
                        r.crashed || r.allotments[b].state() == Allotment.State.CLOSED,
                        "router %d did not close budget %d",
                        r.index,
                        b);
            }
        }
    }

    private boolean deliverAll() {
        boolean moved = false;
        while (!messages.isEmpty()) {
            moved |= deliver(0, false);
        }
        return moved;
    }

    private boolean quiesceRound() {
        boolean moved = deliverAll();
        for (RouterModel r : routers) {
            if (r.crashed) {
                continue;
            }
            moved |= r.finish(true) | r.ledgerTimeout() | r.flush() | r.takeoverTimeout() | r.takeoverStep(0);
            for (int b = 0; b < granted.length; b++) {
                r.busy[b] = 0;
                if (r.running.isEmpty() && r.allotments[b].state() != Allotment.State.CLOSED) {
                    moved |= r.update(b, mechanisms.planClose(r.allotments[b], r.incarnation, r.seen[b]))
                            || r.read(b, 0);
                }
            }
        }
        return moved;
    }
}
