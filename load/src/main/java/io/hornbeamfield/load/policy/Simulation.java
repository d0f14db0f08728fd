package io.hornbeamfield.load.policy;

import io.hornbeamfield.core.budget.HolderEntry;
import io.hornbeamfield.load.simulation.SimulatedTime;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** One replay of a trace: routers of one policy, the platform, and the tokens that the engines really produced. */
final class Simulation {
    private static final long CUT_OFF_FROM_SECOND = 400;
    private static final long CUT_OFF_SECONDS = 600;
    private static final long LEDGER_FLUSH_MS = 100;
    private static final long RELEASE_AFTER_MS = 300_000;

    private final Deployment deployment;
    private final SpendPolicy policy;
    private final Scenario scenario;
    private final Trace trace;
    private final SimulatedTime events = new SimulatedTime(ChronoUnit.MILLIS);
    private final SimPlatform platform;
    private final List<SimRouter> routers = new ArrayList<>();
    private final List<SimRouter> killed = new ArrayList<>();
    private final BudgetTruth[] truths;
    private final Set<Long> ledgerFlushes = new HashSet<>();
    private long serial;
    private long falseRefusals;
    private long refusals;
    private long refusalWaitMs;
    private long peerRequests;

    private Simulation(Deployment deployment, SpendPolicy policy, Scenario scenario, Trace trace) {
        this.deployment = deployment;
        this.policy = policy;
        this.scenario = scenario;
        this.trace = trace;
        int count = trace.granted().length;
        platform = new SimPlatform(count);
        truths = new BudgetTruth[count];
        for (int w = 0; w < count; w++) {
            truths[w] = new BudgetTruth();
            grant(w, "first", trace.granted()[w]);
        }
        for (int r = 0; r < deployment.routers(); r++) {
            routers.add(router(r, 0));
        }
    }

    /** Replays a trace and returns what was measured. */
    static Measures replay(Deployment deployment, SpendPolicy policy, Scenario scenario, Trace trace) {
        return new Simulation(deployment, policy, scenario, trace).run();
    }

    SimulatedTime events() {
        return events;
    }

    SimPlatform platform() {
        return platform;
    }

    List<SimRouter> routers() {
        return routers;
    }

    boolean linked(SimRouter from, SimRouter to) {
        return scenario != Scenario.ISOLATION || from.cutOff == to.cutOff;
    }

    long nextSerial() {
        return ++serial;
    }

    void peerRequest() {
        peerRequests++;
    }

    private Measures run() {
        for (Trace.Request request : trace.requests()) {
            events.at(request.atMs(), () -> arrive(request));
        }
        long end = trace.seconds() * 1_000;
        for (int w = 0; w < trace.topUps().length; w++) {
            int workspace = w;
            if (trace.topUps()[w] > 0) {
                events.at(end * 19 / 20, () -> topUp(workspace));
            }
        }
        scheduleFailures(end);
        events.runUntil(end + 60_000);
        return measures();
    }

    private void scheduleFailures(long end) {
        switch (scenario) {
            case ALL_UP -> {
                events.at(end / 4, () -> replace(1));
                events.at(end / 2, () -> replace(4));
            }
            case KILLS, UNRELEASED -> {
                events.at(end / 4, () -> kill(1));
                events.at(end / 2, () -> kill(4));
            }
            case PARTITION, ISOLATION -> {
                events.at(CUT_OFF_FROM_SECOND * 1_000, () -> cutOff(true));
                events.at((CUT_OFF_FROM_SECOND + CUT_OFF_SECONDS) * 1_000, () -> cutOff(false));
            }
            default -> throw new IllegalArgumentException(scenario.toString());
        }
    }

    private SimRouter router(int index, int generation) {
        String zone = deployment.zones().get(index % deployment.zones().size());
        return new SimRouter(this, policy, index, generation, zone, truths.length);
    }

    private void cutOff(boolean cutOff) {
        // A third of the routers, rounded up, spread over the zones.
        for (int r = 0; r < routers.size(); r += 3) {
            routers.get(r).cutOff = cutOff;
        }
    }

    private void replace(int index) {
        routers.get(index).leaving = true;
        routers.set(index, router(index, 1));
    }

    private void kill(int index) {
        SimRouter router = routers.get(index);
        router.alive = false;
        killed.add(router);
        routers.set(index, router(index, 1));
        if (scenario == Scenario.KILLS) {
            events.after(RELEASE_AFTER_MS, () -> release(router));
        }
        for (BudgetAtRouter b : router.budgets) {
            b.waiting.forEach(w -> events.after(1_000, () -> arrive(w.request())));
        }
        for (BudgetTruth truth : truths) {
            truth.runningAt(router).forEach(request -> events.after(1_000, () -> arrive(request)));
        }
    }

    /** The operator knows the bills, and the transfers that the entry does not show from the peers' state dumps. */
    private void release(SimRouter router) {
        for (BudgetAtRouter b : router.budgets) {
            HolderEntry own = b.allotment.counters();
            long unrecorded = own.sentOut()
                    - platform.record(b.index).holder(router.incarnation).sentOut();
            long used = truths[b.index].producedBy(router) + unrecorded;
            platform.operate(b.index, record -> record.withRelease(router.incarnation, used));
        }
    }

    /** The address answer names routers of the caller's zone first, by rendezvous hash of the workspace. */
    private void arrive(Trace.Request request) {
        List<SimRouter> order = new ArrayList<>(routers);
        order.sort(Comparator.<SimRouter>comparingInt(r -> r.zone.equals(request.zone()) ? 0 : 1)
                .thenComparingInt(r -> (r.index * 31 + request.workspace()) * 0x9E3779B9 >>> 1));
        order.get(request.firstAddress() ? 0 : 1).arrive(request);
    }

    void started(SimRouter router, Trace.Request request, Runnable finish) {
        long now = events.now();
        BudgetTruth.Run run = new BudgetTruth.Run(router, request, now);
        truths[request.workspace()].running.add(run);
        events.at(now + request.runMs(), () -> {
            BudgetTruth truth = truths[request.workspace()];
            truth.running.remove(run);
            truth.produced(router, request.used());
            truth.overspend = Math.max(truth.overspend, truth.produced - truth.granted);
            ledgerFlushes.add(events.now() / LEDGER_FLUSH_MS * 64 + router.index);
            finish.run();
        });
    }

    void refused(Trace.Request request) {
        refusals++;
        refusalWaitMs += events.now() - request.atMs();
        BudgetTruth truth = truths[request.workspace()];
        long remaining = truth.remaining(events.now());
        if (remaining >= request.reserve()) {
            falseRefusals++;
        }
    }

    private void topUp(int workspace) {
        truths[workspace].recordTail(trace.granted()[workspace], events.now());
        grant(workspace, "late", trace.topUps()[workspace]);
    }

    private void grant(int workspace, String id, long tokens) {
        truths[workspace].granted += tokens;
        platform.operate(workspace, record -> record.withTopUp(id, tokens));
    }

    private Measures measures() {
        long stranded = 0;
        for (SimRouter router : killed) {
            for (BudgetAtRouter b : router.budgets) {
                boolean released = !platform.record(b.index).holders().containsKey(router.incarnation);
                stranded += released ? 0 : Math.max(0, b.allotment.available());
            }
        }
        double usable = 0;
        int ranDry = 0;
        long overspend = 0;
        for (int w = 0; w < truths.length; w++) {
            truths[w].recordTail(trace.granted()[w], events.now());
            overspend += Math.max(0, truths[w].overspend);
            if (truths[w].tailUsable >= 0) {
                usable += truths[w].tailUsable;
                ranDry++;
            }
        }
        int requests = trace.requests().size();
        return new Measures(
                overspend,
                refusals,
                falseRefusals,
                (double) falseRefusals / requests,
                platform.calls * 1_000.0 / requests,
                ledgerFlushes.size() * 1_000.0 / requests,
                peerRequests * 1_000.0 / requests,
                refusals == 0 ? 0 : refusalWaitMs / 1e3 / refusals,
                stranded,
                (double) stranded / trace.grantedInAll(),
                ranDry == 0 ? 1 : usable / ranDry);
    }
}
