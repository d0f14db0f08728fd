package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.quarantine.CrashEvidence;
import io.hornbeamfield.core.quarantine.CrashJournal;
import io.hornbeamfield.core.quarantine.PartActivity;
import io.hornbeamfield.core.quarantine.Quarantine;
import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerMessage;
import io.hornbeamfield.router.CrashService;
import java.time.Clock;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jboss.logging.Logger;

/**
 * Shares crashes of engines with the linked routers through heartbeats, and publishes which parts of prompts are held
 * responsible. A restarted router gets its earlier evidence back from the others.
 */
final class CrashController implements PeerHandler, CrashService {
    private static final Logger LOG = Logger.getLogger(CrashController.class);

    /** Heartbeats stay far below the limit of a frame. */
    private static final int MAX_INSTANCES = 64;

    private final ControlContext context;
    private final PartActivity activity;
    private final CrashJournal journal;
    private final Map<String, CrashEvidence> byInstance = new LinkedHashMap<>();
    private boolean restored;
    private volatile Map<String, CrashEvidence> known = Map.of();

    CrashController(ControlContext context, PeerEventDispatcher peers, Clock clock) {
        this.context = context;
        this.activity = new PartActivity(clock);
        this.journal = new CrashJournal(clock, activity);
        peers.register(this);
    }

    /** Returns what this router knows, by the instance that has seen it. May be called from any thread. */
    Map<String, CrashEvidence> known() {
        return known;
    }

    @Override
    public PartActivity activity() {
        return activity;
    }

    @Override
    public void engineCrashed(String model, String engine, Collection<String> parts) {
        context.loop().execute(() -> {
            context.count("crashes.seen");
            journal.serverCrashed(model, engine, parts);
            assess();
        });
    }

    @Override
    public void received(PeerLink link, PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat beat && beat.crashes().isPresent()) {
            beat.crashes().get().forEach((instance, evidence) -> learn(link, instance, evidence));
            journal.othersReported(byInstance.values());
            assess();
        }
    }

    /** An instance knows best what it has seen itself; others only repeat what it told them. */
    private void learn(PeerLink link, String instance, CrashEvidence evidence) {
        String own = context.identity().instanceId();
        if (instance.equals(own)) {
            if (!restored) {
                restored = true;
                journal.restore(evidence);
            }
        } else if (instance.equals(link.peer().instanceId()) || !byInstance.containsKey(instance)) {
            if (byInstance.containsKey(instance) || byInstance.size() < MAX_INSTANCES) {
                byInstance.put(instance, evidence);
            }
        }
    }

    private void assess() {
        Quarantine before = context.blackboard().quarantine();
        Quarantine next = journal.assess();
        context.blackboard().publishQuarantine(next);
        if (!before.culprits().equals(next.culprits())) {
            LOG.infof(
                    "Prompts are quarantined after crashes of engines: %s; known crashes: %d.",
                    next.culprits(), journal.knownCrashes());
        }
        Map<String, CrashEvidence> all = new LinkedHashMap<>(byInstance);
        if (!journal.own().equals(CrashEvidence.none())) {
            all.put(context.identity().instanceId(), journal.own());
        }
        known = Map.copyOf(all);
    }
}
