package io.hornbeamfield.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.core.prepaid.PrepaidLedger;
import io.hornbeamfield.core.prepaid.StoredLedger;
import io.hornbeamfield.core.route.WorkspaceAccess;
import io.hornbeamfield.core.time.ManualClock;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Guards against message amplification while a witness is silent. */
final class WitnessesTest {
    private static final long OBSERVATION_MS = 500;
    private static final long ROUND_MS = 40;

    /** Link to an instance that never replies. */
    private static final class SilentLink implements PeerLink {
        private final AtomicInteger messages = new AtomicInteger();

        @Override
        public PeerMessage.Hello peer() {
            return new PeerMessage.Hello("w/1", "w", "north", "127.0.0.1:1", "00");
        }

        @Override
        public boolean send(PeerMessage message) {
            messages.incrementAndGet();
            return true;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void close() {
            // Holds no resources.
        }
    }

    /**
     * Guards against a failure in run trouble-3 on site quabbin, seed 1012493234702: while requests of several
     * workspaces were waiting, each missing acknowledgement led to new messages for all of them, and the overloaded
     * control thread adopted a configuration seconds late.
     */
    @Test
    void waitingRequestsOfSeveralWorkspacesDoNotMultiplyTheMessagesToASilentWitness() throws InterruptedException {
        List<String> workspaces = List.of("a", "b", "c", "d", "e");
        PrepaidHoldings book = bookWithWitness(workspaces);
        SilentLink link = new SilentLink();
        ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor();
        Witnesses witnesses = new Witnesses(
                ManualClock.atEpochSecond(1), book, control, EventLog.none(), () -> List.of(link), l -> true, () -> {});
        control.execute(() -> raiseAll(witnesses, workspaces));
        Thread.sleep(OBSERVATION_MS);
        control.shutdownNow();
        assertThat(control.awaitTermination(10, TimeUnit.SECONDS)).isTrue();
        long rounds = OBSERVATION_MS / ROUND_MS + 2;
        // One message per workspace and round, and one with all limits when the witnesses are chosen again.
        assertThat(link.messages.get()).isLessThanOrEqualTo((int) (2 * workspaces.size() * rounds));
    }

    private static void raiseAll(Witnesses witnesses, List<String> workspaces) {
        workspaces.forEach(w -> witnesses.raiseLimit(w, () -> raiseAll(witnesses, workspaces)));
    }

    private static PrepaidHoldings bookWithWitness(List<String> workspaces) {
        PrepaidHoldings book = new PrepaidHoldings(ManualClock.atEpochSecond(1), "self/1", () -> 2);
        List<WorkspaceAccess> access = new ArrayList<>();
        workspaces.forEach(w -> access.add(new WorkspaceAccess(w, Set.of(), Optional.empty(), Optional.of(100_000L))));
        book.updateTotals(access);
        PrepaidLedger ledger = book.planWrite(StoredLedger.atRevision(PrepaidLedger.empty(), 1), List.of())
                .orElseThrow();
        book.applyLedger(StoredLedger.atRevision(ledger.withWitnesses("self/1", Set.of("w/1")), 2));
        book.recordAcknowledgement("w/1", Map.of());
        workspaces.forEach(w -> book.startWaiting(w, 100));
        return book;
    }
}
