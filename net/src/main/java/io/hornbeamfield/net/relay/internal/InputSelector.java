package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.core.admission.ArrivalEstimate;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.jspecify.annotations.Nullable;

/** Selects connections with input, and records when and whether there were connections to accept. */
final class InputSelector extends DefaultSelectorHandler {
    /** Bounds the time for which connections that are open wait for new ones. */
    private static final int MAX_ACCEPTED_TOGETHER = 64;

    private final ArrivalEstimate estimate;
    private final List<Listening> all = new CopyOnWriteArrayList<>();

    InputSelector(ArrivalEstimate estimate) {
        super(ArrivalEstimate.MAX_LOOK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        this.estimate = estimate;
    }

    /** A listening socket and its backlog, which is created first, since connections may come at once. */
    final class Listening {
        private final ArrivalEstimate.Backlog backlog = estimate.new Backlog();
        private volatile @Nullable TCPNIOServerConnection socket;

        ArrivalEstimate.Backlog backlog() {
            return backlog;
        }

        void opened(TCPNIOServerConnection listening) {
            socket = listening;
        }

        private void looked(SelectorRunner runner, Set<SelectionKey> selected) throws IOException {
            TCPNIOServerConnection listening = socket;
            if (listening == null || !selected.contains(listening.getChannel().keyFor(runner.getSelector()))) {
                backlog.looked(false);
            } else {
                backlog.looked(true);
                acceptAll(listening);
            }
        }

        /**
         * Accepts what waits; Grizzly accepts one connection a selection, so that the others would wait for its input.
         */
        private void acceptAll(TCPNIOServerConnection listening) throws IOException {
            long before = -1;
            for (int i = 0; i < MAX_ACCEPTED_TOGETHER && backlog.accepted() != before; i++) {
                before = backlog.accepted();
                listening.onAccept();
            }
        }
    }

    /** Adds a listening socket that is about to be opened. */
    Listening add() {
        Listening listening = new Listening();
        all.add(listening);
        return listening;
    }

    @Override
    public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
        estimate.looking();
        Set<SelectionKey> selected = super.select(runner);
        for (Listening l : all) {
            l.looked(runner, selected);
        }
        return selected;
    }
}
