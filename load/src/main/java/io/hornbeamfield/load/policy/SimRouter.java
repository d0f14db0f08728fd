package io.hornbeamfield.load.policy;

import io.hornbeamfield.core.budget.Allotment;
import io.hornbeamfield.core.budget.AllotmentAction;
import io.hornbeamfield.core.budget.AllotmentPlanner;
import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.budget.BudgetUpdate;
import io.hornbeamfield.core.budget.DemandRate;
import io.hornbeamfield.core.budget.Reservation;
import io.hornbeamfield.core.budget.TransferGrant;
import java.util.List;
import java.util.Optional;

/** One router incarnation that spends by a {@link SpendPolicy}, over the real allotments and planner. */
final class SimRouter {
    static final long PLATFORM_MS = 5;
    static final long PEER_MS = 3;
    private static final long TICK_MS = 1_000;
    private static final long PEER_ROUND_MS = 250;
    private static final long WATCH_MS = 60_000;
    private static final long REREAD_MS = 1_000;
    private static final long UNKNOWN_POTENTIAL = Long.MAX_VALUE / 4;

    final String incarnation;
    final int index;
    final String zone;
    final BudgetAtRouter[] budgets;
    boolean alive = true;
    boolean leaving;
    boolean cutOff;
    int running;
    private final Simulation sim;
    private final SpendPolicy policy;
    private final AllotmentPlanner planner;

    SimRouter(Simulation sim, SpendPolicy policy, int index, int generation, String zone, int budgetCount) {
        this.sim = sim;
        this.policy = policy;
        this.index = index;
        this.zone = zone;
        this.incarnation = "router-" + index + "-" + String.format("%08x", generation);
        this.planner = new AllotmentPlanner(policy.sizer(), policy.idleReturn());
        budgets = new BudgetAtRouter[budgetCount];
        for (int b = 0; b < budgetCount; b++) {
            budgets[b] = new BudgetAtRouter(
                    b,
                    new Allotment("w" + b, incarnation),
                    DemandRate.forHorizon(sim.events().clock(), policy.horizon()),
                    BudgetRecord.create("w" + b));
        }
        sim.events().after(TICK_MS, this::tick);
    }

    void arrive(Trace.Request request) {
        BudgetAtRouter b = budgets[request.workspace()];
        b.rate.add(request.reserve());
        var waiting = new BudgetAtRouter.Waiting(request, sim.events().now() + policy.admissionWaitMs());
        b.waiting.add(waiting);
        b.waitingTokens += request.reserve();
        if (!policy.updatePerRequest()) {
            admit(b);
        }
        if (b.waiting.contains(waiting)) {
            pump(b);
            sim.events().after(policy.admissionWaitMs(), () -> expire(b, waiting));
        }
    }

    /** Starts waiting requests, oldest first; one that does not fit does not hold up smaller ones behind it. */
    private void admit(BudgetAtRouter b) {
        var waiting = b.waiting.iterator();
        while (alive && waiting.hasNext()) {
            Trace.Request request = waiting.next().request();
            Optional<Reservation> reservation = b.allotment.reserve(request.reserve());
            if (reservation.isPresent()) {
                waiting.remove();
                b.waitingTokens -= request.reserve();
                running++;
                sim.started(this, request, () -> finish(b, request, reservation.get()));
                if (policy.updatePerRequest()) {
                    return;
                }
            }
        }
    }

    private void finish(BudgetAtRouter b, Trace.Request request, Reservation reservation) {
        if (!alive) {
            return;
        }
        running--;
        b.allotment.settle(reservation, request.used());
        if (!policy.updatePerRequest()) {
            admit(b);
        }
    }

    private void expire(BudgetAtRouter b, BudgetAtRouter.Waiting waiting) {
        if (alive && b.waiting.remove(waiting)) {
            b.waitingTokens -= waiting.request().reserve();
            sim.refused(waiting.request());
            admit(b);
        }
    }

    /** Gets tokens for waiting requests: from the platform while something is free, else from peers. */
    private void pump(BudgetAtRouter b) {
        if (!alive || b.waiting.isEmpty()) {
            return;
        }
        if (policy.updatePerRequest()) {
            updateForRequest(b);
        } else if (!b.known || b.seen.free() > 0) {
            act(b, b.waitingTokens);
        } else if (!policy.watchWhenEmpty() && sim.events().now() - b.seenAtMs >= REREAD_MS) {
            read(b);
        }
        boolean empty = cutOff || (b.known && b.seen.free() <= 0);
        if (policy.transfers() && empty && !b.asking && sim.events().now() >= b.nextPeerRoundMs) {
            b.asking = true;
            askPeer(b, 1, 0);
        }
    }

    private void updateForRequest(BudgetAtRouter b) {
        if (b.busy || cutOff) {
            return;
        }
        if (!b.known) {
            read(b);
            return;
        }
        long need = b.waiting.element().request().reserve() - b.allotment.available();
        Optional<BudgetUpdate> update =
                need > 0 ? b.allotment.planTake(b.seen, need) : b.allotment.planReturn(b.seen, -need);
        if (update.isPresent()) {
            send(b, update.get());
        } else if (need <= 0) {
            sim.platform().calls++;
            admit(b);
            pump(b);
        } else if (sim.events().now() - b.seenAtMs >= REREAD_MS) {
            read(b);
        }
    }

    private void act(BudgetAtRouter b, long need) {
        if (b.busy || cutOff) {
            return;
        }
        if (!b.known) {
            read(b);
            return;
        }
        AllotmentAction action = planner.nextAction(
                b.allotment, b.rate, need, b.seen, sim.routers().size());
        Optional<BudgetUpdate> update = Optional.empty();
        if (action instanceof AllotmentAction.Take take) {
            update = b.allotment.planTake(b.seen, take.tokens());
        } else if (action instanceof AllotmentAction.Return back) {
            update = b.allotment.planReturn(b.seen, back.tokens());
        }
        update.ifPresent(u -> send(b, u));
    }

    private void send(BudgetAtRouter b, BudgetUpdate update) {
        b.busy = true;
        long version = b.version;
        sim.events().after(PLATFORM_MS / 2, () -> {
            boolean reached = !cutOff;
            if (reached) {
                sim.platform().put(b.index, version, update.record());
            }
            sim.events().after(PLATFORM_MS - PLATFORM_MS / 2, () -> answered(b, reached));
        });
    }

    private void read(BudgetAtRouter b) {
        if (b.busy || cutOff) {
            return;
        }
        b.busy = true;
        sim.platform().calls++;
        sim.events().after(PLATFORM_MS, () -> answered(b, !cutOff));
    }

    private void answered(BudgetAtRouter b, boolean reached) {
        b.busy = false;
        if (reached) {
            see(b);
        }
        if (alive && leaving) {
            close(b);
        } else if (alive) {
            admit(b);
            pump(b);
        }
    }

    private void see(BudgetAtRouter b) {
        b.known = true;
        b.seen = sim.platform().record(b.index);
        b.version = sim.platform().version(b.index);
        b.seenAtMs = sim.events().now();
        b.allotment.observe(b.seen, b.version);
        if (policy.watchWhenEmpty() && b.seen.free() <= 0 && !b.watching && inDemand(b)) {
            watch(b);
        }
    }

    private static boolean inDemand(BudgetAtRouter b) {
        return !b.waiting.isEmpty() || b.rate.idleTime().toSeconds() < 60;
    }

    private void watch(BudgetAtRouter b) {
        b.watching = true;
        boolean[] ended = new boolean[1];
        Runnable onChange = () -> sim.events().after(PLATFORM_MS, () -> endWatch(b, ended));
        sim.platform().watch(b.index, onChange);
        sim.events().after(WATCH_MS, () -> {
            sim.platform().endWatch(b.index, onChange);
            endWatch(b, ended);
        });
    }

    private void endWatch(BudgetAtRouter b, boolean[] ended) {
        if (!ended[0]) {
            ended[0] = true;
            b.watching = false;
            if (alive && !cutOff) {
                see(b);
                pump(b);
            }
        }
    }

    /** Asks one peer after the other. The potential is what the peers asked so far could still release. */
    private void askPeer(BudgetAtRouter b, int distance, long potential) {
        long need = b.smallestLack();
        if (!alive || need <= 0 || distance >= sim.routers().size()) {
            b.asking = false;
            b.nextPeerRoundMs = sim.events().now() + PEER_ROUND_MS;
            b.scarcity.recordRound(need, potential + b.allotment.available() + b.allotment.reserved());
            if (alive && need > 0) {
                refuseHopeless(b);
                sim.events().after(PEER_ROUND_MS, () -> pump(b));
            }
            return;
        }
        SimRouter peer = sim.routers().get((index + distance) % sim.routers().size());
        if (!sim.linked(this, peer)) {
            // What an unreachable peer holds is not known, so nothing is refused early.
            b.scarcity.clearPotential();
            askPeer(b, distance + 1, UNKNOWN_POTENTIAL);
            return;
        }
        String id = incarnation + "-" + sim.nextSerial();
        b.allotment.expectTransfer(id);
        sim.peerRequest();
        sim.events().after(PEER_MS / 2 + 1, () -> {
            Optional<TransferGrant> grant = peer.give(b.index, id, need);
            long left = peer.budgets[b.index].allotment.available() + peer.budgets[b.index].allotment.reserved();
            sim.events().after(PEER_MS / 2, () -> {
                grant.ifPresent(b.allotment::receiveTransfer);
                admit(b);
                askPeer(b, distance + 1, potential + left);
            });
        });
    }

    private void refuseHopeless(BudgetAtRouter b) {
        if (cutOff || b.seen.free() > 0) {
            b.scarcity.clearPotential();
        }
        for (BudgetAtRouter.Waiting w : List.copyOf(b.waiting)) {
            if (!b.scarcity.mayCover(w.request().reserve())) {
                b.waiting.remove(w);
                b.waitingTokens -= w.request().reserve();
                sim.refused(w.request());
            }
        }
    }

    private Optional<TransferGrant> give(int budget, String id, long tokens) {
        BudgetAtRouter b = budgets[budget];
        if (!alive || leaving || !b.scarcity.shouldGrant(b.smallestLack(), tokens)) {
            return Optional.empty();
        }
        b.rate.add(tokens);
        return b.allotment.sendTransfer(id, tokens);
    }

    private void tick() {
        if (!alive) {
            return;
        }
        for (BudgetAtRouter b : budgets) {
            if (leaving) {
                close(b);
            } else if (!b.waiting.isEmpty()) {
                pump(b);
            } else if (!policy.updatePerRequest() && b.known) {
                act(b, 0);
            }
        }
        sim.events().after(TICK_MS, this::tick);
    }

    private void close(BudgetAtRouter b) {
        if (running == 0 && !b.busy && !cutOff && b.known) {
            b.allotment.planClose(b.seen).ifPresent(u -> send(b, u));
        }
    }
}
