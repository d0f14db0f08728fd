package io.hornbeamfield.router.control.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.routing.BackendView;
import io.hornbeamfield.core.routing.PrefixIndex;
import io.hornbeamfield.core.routing.RouterInfo;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.peer.PeerIdentity;
import io.hornbeamfield.net.peer.PeerStatus;
import io.hornbeamfield.net.peer.PeerTransport;
import io.hornbeamfield.router.BackendLoad;
import io.hornbeamfield.router.BillingService;
import io.hornbeamfield.router.Blackboard;
import io.hornbeamfield.router.BudgetService;
import io.hornbeamfield.router.CrashService;
import io.hornbeamfield.router.control.ControlLoop;
import io.hornbeamfield.router.control.RouterControl;
import io.hornbeamfield.router.control.RouterSettings;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Creates the controllers of a router and wires them together. */
public final class Controllers implements RouterControl {
    private static final int MAX_PREFIXES_PER_SERVER = 4_096;

    private final ControlContext context;
    private final PeerEventDispatcher dispatcher;
    private final PeerTransport transport;
    private final PrefixIndex prefixes = new PrefixIndex(MAX_PREFIXES_PER_SERVER);
    private final ConfigController config;
    private final InstanceListController instances;
    private final PeerController peers;
    private final AllotmentController allotments;
    private final LedgerController ledger;
    private final CrashController crashes;
    private final BackendController backends;
    private final OrdersLease lease;
    private final ModelLoadController modelLoads;
    private final StatusController status;
    private final GracefulShutdownController shutdown;

    private Controllers(Dependencies dependencies) {
        RouterSettings s = dependencies.settings();
        byte[] random = new byte[4];
        new SecureRandom().nextBytes(random);
        String incarnation = s.instanceId() + "-" + HexFormat.of().formatHex(random);
        PeerIdentity identity = new PeerIdentity(incarnation, s.instanceId(), s.zone(), s.callerAddress());
        ControlLoop loop = ControlLoop.start("control", dependencies.clock());
        this.context = new ControlContext(
                loop,
                new MeteredPlatform(dependencies.platform(), dependencies.metrics()),
                new Blackboard(),
                dependencies.metrics(),
                identity);
        this.dispatcher = new PeerEventDispatcher(loop);
        this.config = new ConfigController(context, dispatcher);
        this.instances = new InstanceListController(context);
        this.allotments = new AllotmentController(context, dispatcher);
        this.ledger = new LedgerController(context, Duration.ofMillis(s.billingFlushMs()));
        this.crashes = new CrashController(context, dispatcher, loop.clock());
        this.backends = new BackendController(context, dependencies.http(), instances, prefixes);
        this.lease = new OrdersLease(context);
        this.modelLoads = new ModelLoadController(context, dependencies.http(), backends, lease);
        this.transport = PeerTransport.builder()
                .identity(identity)
                .sharedSecret(s.sharedSecret())
                .listenOn(s.peerAddress())
                .listener(dispatcher)
                .status(() -> new PeerStatus(
                        config.revision(),
                        config.confirmationAgeMs(),
                        context.blackboard().ownState(),
                        dependencies.inFlight().getAsInt(),
                        crashes.known()))
                .start();
        this.peers = new PeerController(context, dispatcher, transport, instances, s.peers());
        this.status = new StatusController(context, firstStatus(s, identity, transport.port()));
        this.shutdown = new GracefulShutdownController(
                context, dependencies.inFlight(), allotments, ledger, lease, status, peers::refresh);
    }

    private static RouterStatus firstStatus(RouterSettings s, PeerIdentity identity, int peerPort) {
        String ip = s.peerAddress().substring(0, s.peerAddress().lastIndexOf(':'));
        return new RouterStatus(
                identity.incarnation(),
                identity.instanceId(),
                identity.zone(),
                identity.callerAddress(),
                ip + ":" + peerPort,
                s.adminAddress(),
                ServerState.LIVE,
                0);
    }

    /** Starts all controllers. */
    public static RouterControl start(Dependencies dependencies) {
        Controllers c = new Controllers(dependencies);
        c.context.loop().execute(() -> {
            c.config.start();
            c.instances.start();
            c.peers.start();
            c.allotments.start();
            c.backends.start();
            c.modelLoads.start();
            c.status.start();
        });
        return c;
    }

    @Override
    public String incarnation() {
        return context.incarnation();
    }

    @Override
    public Clock clock() {
        return context.loop().clock();
    }

    @Override
    public Blackboard blackboard() {
        return context.blackboard();
    }

    @Override
    public BudgetService budgets() {
        return allotments;
    }

    @Override
    public BillingService billing() {
        return ledger;
    }

    @Override
    public CrashService crashes() {
        return crashes;
    }

    @Override
    public BackendLoad backends() {
        return backends;
    }

    @Override
    public PrefixIndex prefixes() {
        return prefixes;
    }

    @Override
    public int peerPort() {
        return transport.port();
    }

    @Override
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> left = new CompletableFuture<>();
        context.loop().execute(() -> shutdown.leave().thenAccept(left::complete));
        return left;
    }

    /** The state dump. */
    record State(
            String incarnation,
            ServerState ownState,
            long configRevision,
            String activePreset,
            long configAgeMs,
            boolean configStale,
            boolean refusingNewWork,
            List<RouterInfo> routers,
            List<String> links,
            Map<String, AllotmentController.BudgetState> budgets,
            int pendingBills,
            long ledgerSequence,
            boolean givesOrders,
            long fence,
            Map<String, List<BackendView>> pools) {}

    @Override
    public JsonNode state() {
        return Json.tree(CompletableFuture.supplyAsync(this::dump, context.loop())
                .orTimeout(2, TimeUnit.SECONDS)
                .join());
    }

    private State dump() {
        Blackboard board = context.blackboard();
        Map<String, List<BackendView>> pools = new TreeMap<>();
        board.config().ifPresent(c -> c.head().pools().keySet().forEach(p -> pools.put(p, backends.candidates(p))));
        return new State(
                context.incarnation(),
                board.ownState(),
                config.revision(),
                board.config().map(c -> c.head().activePreset()).orElse(""),
                config.confirmationAgeMs(),
                board.configStale(),
                board.refusingNewWork(),
                board.routers(),
                dispatcher.links().stream().map(l -> l.peer().incarnation()).toList(),
                allotments.state(),
                ledger.pending(),
                ledger.sequence(),
                lease.mayIssueOrders(),
                lease.fence(),
                pools);
    }

    @Override
    public void close() {
        transport.close();
        context.loop().close();
    }
}
