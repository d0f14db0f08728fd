package io.hornbeamfield.load.routing;

import io.hornbeamfield.core.admission.AdmissionCallback;
import io.hornbeamfield.core.admission.AdmissionRequest;
import io.hornbeamfield.core.admission.AdmissionSlot;
import io.hornbeamfield.core.admission.Deadline;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.routing.BackendChooser;
import io.hornbeamfield.core.routing.PrefixIndex;
import io.hornbeamfield.core.routing.RouterDirectory;
import io.hornbeamfield.core.routing.RouterInfo;
import io.hornbeamfield.load.simulation.SimulatedTime;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** Routers and engines in simulated time. Each caller uses the first router of the address answer of its zone. */
final class FleetModel {
    /** Sizes, limits and faults of a run. */
    record Limits(int maxConcurrent, int queueLimit, Duration deadline, boolean fairBetweenWorkspaces) {}

    private static final int ROUTERS = 7;
    private static final int ENGINES = 6;
    private static final long NETWORK_MICROS = 1_000;
    private static final long LOAD_REPORT_MICROS = 250_000;
    private static final long LOAD_LAG_MICROS = 200_000;
    private static final long EVENT_LAG_MICROS = 300_000;
    private static final double EVENT_GAPS = 0.05;
    private static final long TICK_MICROS = 50_000;
    private static final List<String> ZONES = List.of("a", "b", "c");

    private final SimulatedTime time = new SimulatedTime(ChronoUnit.MICROS);
    private final Limits limits;
    private final Random gaps;
    private final Map<String, RouterModel> routers = new TreeMap<>();
    private final List<RouterInfo> infos = new ArrayList<>();
    private final List<EngineModel> engines = new ArrayList<>();
    private final RunResult result;

    private FleetModel(
            long seed,
            EngineModel.Config config,
            Function<PrefixIndex, BackendChooser> chooser,
            Limits limits,
            RunResult result) {
        this.limits = limits;
        this.gaps = new Random(seed);
        this.result = result;
        for (int i = 0; i < ROUTERS; i++) {
            String id = "router-" + i;
            routers.put(id, new RouterModel(time, ENGINES, chooser, limits));
            infos.add(new RouterInfo(id, id + "-00000000", ZONES.get(i % 3), "127.0.0.1:1", ServerState.LIVE));
        }
        for (int i = 0; i < ENGINES; i++) {
            int engine = i;
            engines.add(
                    new EngineModel(time, config, (seq, stored, hash) -> publishCacheEvent(engine, seq, stored, hash)));
        }
    }

    /** Replays a trace. Requests before {@code countFromMicros} warm the caches and are not counted. */
    static RunResult replay(
            List<TraceRequest> trace,
            long seed,
            Function<PrefixIndex, BackendChooser> chooser,
            Limits limits,
            long countFromMicros) {
        RunResult result = new RunResult(countFromMicros);
        FleetModel fleet = new FleetModel(seed, EngineModel.Config.DEFAULT, chooser, limits, result);
        trace.forEach(r -> fleet.time.at(r.atMicros(), () -> fleet.arrive(r)));
        long end = trace.get(trace.size() - 1).atMicros() + limits.deadline().toNanos() / 1_000;
        fleet.every(LOAD_REPORT_MICROS, end, fleet::publishLoads);
        fleet.every(TICK_MICROS, end, () -> fleet.routers.values().forEach(r -> r.queue.tick()));
        fleet.time.runUntil(end + 1_000_000);
        for (EngineModel e : fleet.engines) {
            result.addPrompts(e.promptTokens(), e.hitTokens());
        }
        return result;
    }

    private void every(long period, long end, Runnable action) {
        for (long at = period; at <= end; at += period) {
            time.at(at, action);
        }
    }

    private void publishLoads() {
        for (int i = 0; i < engines.size(); i++) {
            int engine = i;
            int running = engines.get(i).running();
            int waiting = engines.get(i).waiting();
            time.after(LOAD_LAG_MICROS, () -> routers.values().forEach(r -> r.reported(engine, running, waiting)));
        }
    }

    private void publishCacheEvent(int engine, long seq, boolean stored, String hash) {
        if (gaps.nextDouble() >= EVENT_GAPS) {
            time.after(EVENT_LAG_MICROS, () -> routers.values().forEach(r -> r.cacheEvent(engine, seq, stored, hash)));
        }
    }

    private void arrive(TraceRequest request) {
        RouterInfo target = RouterDirectory.addressesFor(request.workspace(), request.zone(), infos)
                .get(0);
        RouterModel router = routers.get(target.instanceId());
        if (router == null) {
            throw new IllegalStateException("No router " + target.instanceId() + ".");
        }
        result.offered(request);
        Deadline deadline = Deadline.after(limits.deadline(), time.clock());
        String queueOf = limits.fairBetweenWorkspaces() ? request.workspace() : "all";
        AdmissionRequest wanted = new AdmissionRequest(
                queueOf, Priority.NORMAL, deadline, request.promptTokens() + request.outputTokens());
        router.queue.submit(wanted, new Attempt(request, router));
    }

    /** One request from its admission to its last token or its deadline. */
    private final class Attempt implements AdmissionCallback, EngineModel.Listener {
        private final TraceRequest request;
        private final RouterModel router;
        private @Nullable AdmissionSlot slot;
        private int engine;
        private long lastTokenMicros;
        private boolean ended;

        Attempt(TraceRequest request, RouterModel router) {
            this.request = request;
            this.router = router;
        }

        @Override
        public void start(AdmissionSlot granted) {
            slot = granted;
            engine = router.choose(request);
            time.after(NETWORK_MICROS, () -> {
                EngineModel.Job job = engines.get(engine).submit(request, this);
                long left = request.atMicros() + limits.deadline().toNanos() / 1_000;
                time.at(left, () -> giveUp(job));
            });
        }

        @Override
        public void refuse(Refusal refusal) {
            result.refused(request);
        }

        @Override
        public void token(int index) {
            long now = time.now();
            if (index == 0) {
                result.firstToken(request, now - request.atMicros());
            } else {
                result.nextToken(request, now - lastTokenMicros);
            }
            lastTokenMicros = now;
        }

        @Override
        public void finished() {
            if (!ended) {
                result.finished(request, time.now());
                end(true);
            }
        }

        private void giveUp(EngineModel.Job job) {
            if (!ended) {
                engines.get(engine).cancel(job);
                end(false);
            }
        }

        private void end(boolean complete) {
            ended = true;
            router.ended(engine);
            AdmissionSlot held = slot;
            if (held != null && complete) {
                held.finished();
            } else if (held != null) {
                held.close();
            }
        }
    }
}
