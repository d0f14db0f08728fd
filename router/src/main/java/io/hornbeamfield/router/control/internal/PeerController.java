package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.routing.Rendezvous;
import io.hornbeamfield.core.routing.RouterInfo;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerMessage;
import io.hornbeamfield.net.peer.PeerMessage.Hello;
import io.hornbeamfield.net.peer.PeerTransport;
import io.hornbeamfield.net.platform.ObjectPage;
import io.hornbeamfield.net.platform.VersionedValue;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Maintains the membership of the router fleet. A router's state is taken from its peer link, its status object or the
 * instance list, in this order of precedence. Decides which peers are dialled and publishes the router list for address
 * answers.
 */
final class PeerController implements PeerHandler {
    /** Largest fleet in which every router is linked with every other one. */
    static final int FULL_MESH_LIMIT = 13;

    static final int DIALLED_BEYOND_FULL_MESH = 6;

    /**
     * Initial polls are frequent so that the routers of a fleet discover each other quickly; later, links report
     * changes sooner than polls.
     */
    private static final Duration INITIAL_PERIOD = Duration.ofSeconds(2);

    private static final int INITIAL_POLLS = 5;
    private static final Duration MIN_PERIOD = Duration.ofSeconds(10);
    /** A status object has about 250 bytes; this spacing limits the reads of all objects to about 6 KB/s. */
    private static final Duration PERIOD_PER_ROUTER = Duration.ofMillis(40);

    private static final int PAGE_SIZE = 500;

    private final ControlContext context;
    private final PeerEventDispatcher peers;
    private final PeerTransport transport;
    private final InstanceListController instances;
    private final Set<String> seeds;
    private final RouterTable table = new RouterTable();
    private final Map<String, ServerState> linkedStates = new HashMap<>();
    private final Set<String> dialled = new HashSet<>();
    private int polls;

    PeerController(
            ControlContext context,
            PeerEventDispatcher peers,
            PeerTransport transport,
            InstanceListController instances,
            List<String> seeds) {
        this.context = context;
        this.peers = peers;
        this.transport = transport;
        this.instances = instances;
        this.seeds = Set.copyOf(seeds);
        peers.register(this);
    }

    void start() {
        refresh();
        poll("", new HashSet<>());
    }

    private void poll(String after, Set<String> found) {
        context.loop()
                .onDone(
                        context.platform().list(RouterStatus.PREFIX, after, PAGE_SIZE),
                        page -> pageReceived(page, found),
                        failure -> {
                            table.scanFailed(context.now());
                            refresh();
                            scheduleNextPoll();
                        });
    }

    private void pageReceived(ObjectPage page, Set<String> found) {
        for (VersionedValue object : page.objects()) {
            try {
                RouterStatus status = Json.read(object.value(), RouterStatus.class);
                found.add(status.instanceId());
                if (!status.instanceId().equals(context.identity().instanceId())) {
                    table.observe(status, object.version(), context.now());
                }
            } catch (UncheckedIOException e) {
                context.count("peers.unreadableStatus");
            }
        }
        if (page.more() && !page.objects().isEmpty()) {
            poll(page.objects().get(page.objects().size() - 1).key(), found);
            return;
        }
        table.scanCompleted(found, context.now());
        refresh();
        scheduleNextPoll();
    }

    private void scheduleNextPoll() {
        polls++;
        Duration scaled = PERIOD_PER_ROUTER.multipliedBy(table.peerAddresses().size());
        Duration period = (polls <= INITIAL_POLLS ? INITIAL_PERIOD : MIN_PERIOD).plus(scaled);
        context.loop().after(period, () -> poll("", new HashSet<>()));
    }

    /** Publishes the current membership and updates the set of dialled peers. */
    void refresh() {
        Map<String, RouterInfo> byInstance = new TreeMap<>();
        table.activeRouters(instances::isListedAsLeaving).forEach(r -> byInstance.put(r.instanceId(), r));
        for (PeerLink link : peers.links()) {
            Hello hello = link.peer();
            ServerState state = linkedStates.getOrDefault(hello.incarnation(), ServerState.LIVE);
            byInstance.put(
                    hello.instanceId(),
                    new RouterInfo(
                            hello.instanceId(), hello.incarnation(), hello.zone(), hello.callerAddress(), state));
        }
        var own = context.identity();
        byInstance.put(
                own.instanceId(),
                new RouterInfo(
                        own.instanceId(),
                        own.incarnation(),
                        own.zone(),
                        own.callerAddress(),
                        context.blackboard().ownState()));
        List<RouterInfo> list = List.copyOf(byInstance.values());
        if (!list.equals(context.blackboard().routers())) {
            context.blackboard().publishRouters(list);
        }
        dial();
    }

    private void dial() {
        Set<String> wanted = new HashSet<>();
        Map<String, String> known = table.peerAddresses();
        if (known.size() < FULL_MESH_LIMIT) {
            wanted.addAll(seeds);
            wanted.addAll(known.values());
        } else {
            known.keySet().stream()
                    .sorted(Comparator.comparingLong(this::pairWeight).reversed())
                    .limit(DIALLED_BEYOND_FULL_MESH)
                    .forEach(id -> wanted.add(known.getOrDefault(id, "")));
        }
        Set<String> unwanted = new HashSet<>(dialled);
        unwanted.removeAll(wanted);
        unwanted.forEach(transport::stopDialling);
        dialled.removeAll(unwanted);
        wanted.stream().filter(dialled::add).forEach(transport::dial);
    }

    private long pairWeight(String other) {
        String own = context.identity().instanceId();
        return own.compareTo(other) < 0 ? Rendezvous.weight(own, other) : Rendezvous.weight(other, own);
    }

    @Override
    public void linked(PeerLink link) {
        table.linked(link.peer().instanceId());
        refresh();
    }

    @Override
    public void received(PeerLink link, PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat beat
                && linkedStates.put(link.peer().incarnation(), beat.state()) != beat.state()) {
            refresh();
        }
    }

    @Override
    public void unlinked(PeerLink link) {
        linkedStates.remove(link.peer().incarnation());
        table.linkLost(link.peer().instanceId(), context.now());
        refresh();
    }
}
