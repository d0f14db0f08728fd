package io.hornbeamfield.entry;

import com.sun.management.OperatingSystemMXBean;
import io.hornbeamfield.core.discovery.AddressSelection;
import io.hornbeamfield.core.discovery.CallerShedding;
import io.hornbeamfield.core.discovery.InstanceLoads;
import io.hornbeamfield.core.discovery.LinkUse;
import io.hornbeamfield.core.discovery.LoadEstimate;
import io.hornbeamfield.entry.Blackboard.Member;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.net.metrics.TransferredBytes;
import java.lang.management.ManagementFactory;
import java.time.Clock;
import java.util.List;
import java.util.Random;
import java.util.function.IntSupplier;

/**
 * Distributes callers over the instances by capacity and load: measures the load of this instance, selects the
 * addresses of answers and decides which connections are closed. In force in a large fleet whose registered capacities
 * differ. Except for {@link #loads} and {@link #linkFull}, to be used under the serial of request handling.
 */
public final class LoadSharing {
    /** Header of a readiness check that asks for the load, and of the response that carries it. */
    public static final String REPORT_HEADER = "X-Load-Report";

    static final long SAMPLE_MS = 500;

    private final Blackboard blackboard;
    private final EventLog log;
    private final Metrics metrics;
    private final double processorShare;
    private final LoadEstimate estimate;
    private final LinkUse link;
    private final TransferredBytes requestBytes;
    private final TransferredBytes controlBytes;
    private final InstanceLoads loads;
    private final AddressSelection selection;
    private final CallerShedding shedding;
    private List<Member> judged = List.of();
    private boolean active;

    /**
     * Creates the sharing of an instance.
     *
     * @param requestBytes counts what the connections to callers and servers transfer
     * @param controlBytes counts what the connections to the store transfer
     */
    LoadSharing(
            EntrySettings settings,
            Clock clock,
            Blackboard blackboard,
            TransferredBytes requestBytes,
            TransferredBytes controlBytes,
            Metrics metrics,
            EventLog log) {
        this.blackboard = blackboard;
        this.log = log;
        this.requestBytes = requestBytes;
        this.controlBytes = controlBytes;
        this.metrics = metrics;
        DeploymentSettings d = settings.deployment();
        processorShare = d.processorShare();
        estimate = new LoadEstimate(clock, processorShare, d.processingCapacity());
        link = new LinkUse(clock, d.linkMbps());
        loads = new InstanceLoads(clock, settings.instance());
        selection = new AddressSelection(clock, new Random(), loads::load);
        shedding = new CallerShedding(clock, loads);
        metrics.gauge("callers.load", () -> loads.own().orElse(-1));
        metrics.gauge("link.use", link::share);
        metrics.gauge("link.requestBytesReceived", requestBytes::received);
        metrics.gauge("link.requestBytesSent", requestBytes::sent);
        metrics.gauge("link.controlBytesReceived", controlBytes::received);
        metrics.gauge("callers.loadsKnown", loads::known);
        metrics.gauge("callers.busyInstances", selection::busyInstances);
        metrics.gauge("callers.overflowShare", selection::maxOverflowShare);
    }

    /** Returns the loads of the instances. Thread-safe. */
    public InstanceLoads loads() {
        return loads;
    }

    /** Returns whether the link of this instance is full. Thread-safe. */
    public boolean linkFull() {
        return link.isFull();
    }

    /** Returns whether callers are distributed by capacity. */
    boolean active() {
        List<Member> members = blackboard.members();
        if (members != judged) {
            judged = members;
            boolean next = AddressSelection.applies(
                    members.stream().map(Member::instance).toList());
            if (next != active) {
                active = next;
                log.event("addresses-by-capacity")
                        .field("active", String.valueOf(next))
                        .field("instances", members.size())
                        .write();
            }
        }
        return active;
    }

    /** Returns the addresses for one answer. */
    List<String> select(String zone, List<Member> accepting) {
        metrics.counter("callers.answersByCapacity").inc();
        List<String> names =
                selection.select(zone, accepting.stream().map(Member::instance).toList());
        return accepting.stream()
                .filter(m -> names.contains(m.name()))
                .map(Member::callerAddress)
                .distinct()
                .toList();
    }

    /** Returns whether the connection of the present request is closed after its response. */
    boolean shedsCaller(int connections) {
        boolean sheds = active() && shedding.closeNext(connections);
        if (sheds) {
            metrics.counter("callers.connectionsClosed").inc();
        }
        return sheds;
    }

    /** Measures the load of this instance. To be called every {@link #SAMPLE_MS}. */
    void sample(IntSupplier openRequests) {
        double linkUse = sampleLink();
        if (processorShare > 0 && ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean os) {
            loads.own(Math.max(linkUse, estimate.update(os.getProcessCpuTime(), openRequests.getAsInt())));
        }
    }

    private double sampleLink() {
        boolean before = link.isFull();
        double use = link.update(
                requestBytes.received() + controlBytes.received(), requestBytes.sent() + controlBytes.sent());
        if (link.isFull() != before) {
            log.event(before ? "link-relieved" : "link-full")
                    .field("usePercent", Math.round(100 * use))
                    .field("requestBytesReceived", requestBytes.received())
                    .field("requestBytesSent", requestBytes.sent())
                    .field("controlBytesReceived", controlBytes.received())
                    .write();
        }
        return use;
    }
}
