package io.hornbeamfield.load.routing;

import io.hornbeamfield.core.admission.AdmissionQueue;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.routing.BackendChooser;
import io.hornbeamfield.core.routing.BackendRequest;
import io.hornbeamfield.core.routing.BackendView;
import io.hornbeamfield.core.routing.PrefixIndex;
import io.hornbeamfield.load.simulation.SimulatedTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/** A router of the model: the admission queue, the chooser and the views of the real one. */
final class RouterModel {
    private static final String MODEL = "m";
    private static final int INDEXED_PREFIXES = 20_000;

    /** Load of one engine as this router knows it. */
    private static final class View {
        private int running;
        private int waiting;
        private int sent;
        private int finished;
        private int outstanding;
    }

    final AdmissionQueue queue;
    final PrefixIndex index = new PrefixIndex(INDEXED_PREFIXES);
    private final BackendChooser chooser;
    private final List<View> views = new ArrayList<>();

    RouterModel(
            SimulatedTime time, int engines, Function<PrefixIndex, BackendChooser> chooser, FleetModel.Limits limits) {
        this.queue = new AdmissionQueue(time.clock());
        this.queue.updateLimits(limits.maxConcurrent(), limits.queueLimit(), Priority.LOW);
        this.chooser = chooser.apply(index);
        for (int i = 0; i < engines; i++) {
            views.add(new View());
        }
    }

    static String engineId(int engine) {
        return "runner-" + engine;
    }

    /** Chooses an engine and counts the request there. */
    int choose(TraceRequest request) {
        List<BackendView> servers = new ArrayList<>();
        for (int i = 0; i < views.size(); i++) {
            View v = views.get(i);
            servers.add(new BackendView(
                    engineId(i),
                    "127.0.0.1:1",
                    "a",
                    ServerState.LIVE,
                    false,
                    v.running,
                    v.waiting,
                    v.sent,
                    v.finished,
                    v.outstanding,
                    Set.of(MODEL)));
        }
        Optional<BackendView> chosen = chooser.choose(BackendRequest.forModel(MODEL, request.prefixes()), servers);
        int engine = servers.indexOf(chosen.orElseThrow());
        View v = views.get(engine);
        v.sent++;
        v.outstanding++;
        index.sent(engineId(engine), request.prefixes());
        return engine;
    }

    void ended(int engine) {
        views.get(engine).finished++;
        views.get(engine).outstanding--;
    }

    void reported(int engine, int running, int waiting) {
        View v = views.get(engine);
        v.running = running;
        v.waiting = waiting;
        v.sent = 0;
        v.finished = 0;
    }

    void cacheEvent(int engine, long seq, boolean stored, String hash) {
        if (stored) {
            index.stored(engineId(engine), seq, hash);
        } else {
            index.evicted(engineId(engine), seq, hash);
        }
    }
}
