package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.core.admission.ArrivalEstimate;
import io.hornbeamfield.net.relay.InboundLimits;
import io.hornbeamfield.net.relay.Serial;
import java.util.function.Supplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Registers client connections and records when bytes arrive on them. */
final class InboundConnectionFilter extends BaseFilter {
    private final InboundConnections connections;
    private final Supplier<InboundLimits> limits;
    private final Serial serial;
    private final ArrivalEstimate estimate;
    private final ArrivalEstimate.Backlog backlog;
    private final UnsentAnswers unsentAnswers;

    InboundConnectionFilter(
            InboundConnections connections,
            Supplier<InboundLimits> limits,
            Serial serial,
            ArrivalEstimate estimate,
            ArrivalEstimate.Backlog backlog,
            UnsentAnswers unsentAnswers) {
        this.connections = connections;
        this.limits = limits;
        this.serial = serial;
        this.estimate = estimate;
        this.backlog = backlog;
        this.unsentAnswers = unsentAnswers;
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        Connection<?> c = ctx.getConnection();
        ArrivalEstimate.Accepted accepted = backlog.accept();
        serial.run(() -> connections.add(c, new InboundState(c, limits, serial, estimate, accepted, unsentAnswers)));
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        InboundState state = InboundConnections.stateOf(ctx.getConnection());
        if (state != null) {
            serial.run(state::bytesReceived);
            if (state.isReadingStopped()) {
                ConnectionInput.of(ctx.getConnection()).discarded();
                return ctx.getStopAction();
            }
        }
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        InboundState state = InboundConnections.stateOf(ctx.getConnection());
        if (state != null) {
            connections.remove(state);
        }
        return ctx.getInvokeAction();
    }
}
