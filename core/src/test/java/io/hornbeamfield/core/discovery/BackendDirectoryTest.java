package io.hornbeamfield.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against dropping live servers after an outage of the store, and against keeping servers that are gone. */
final class BackendDirectoryTest {
    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final BackendDirectory directory = new BackendDirectory(clock);

    @Test
    void aServerWhoseRegistrationExpiredDuringAnOutageIsRetainedUntilTheGraceEnds() {
        directory.replaceAll(List.of(server("a", false), server("b", false)));
        directory.storeLost();
        clock.advance(Duration.ofSeconds(5));
        directory.storeReturned();
        directory.replaceAll(List.of(server("b", false)));

        assertThat(directory.usable("models")).hasSize(2);
        assertThat(directory.confirmationDue()).isFalse();

        clock.advance(Duration.ofMillis(BackendDirectory.MAX_RETENTION_MS));
        assertThat(directory.confirmationDue()).isTrue();
        assertThat(directory.dropUnlisted(List.of(server("b", false)))).containsExactly("a");
        assertThat(directory.usable("models")).extracting(BackendServer::id).containsExactly("b");
    }

    @Test
    void aServerThatRegistersAgainWithinTheGraceStays() {
        directory.replaceAll(List.of(server("a", false)));
        directory.storeLost();
        directory.storeReturned();
        directory.replaceAll(List.of());
        directory.put(server("a", false));
        clock.advance(Duration.ofMillis(BackendDirectory.REREGISTRATION_GRACE_MS));

        assertThat(directory.confirmationDue()).isFalse();
        assertThat(directory.dropUnlisted(List.of())).isEmpty();
        assertThat(directory.usable("models")).hasSize(1);
    }

    /**
     * Regression (quabbin scale-1): all registrations had expired during an outage of the store, the instances were
     * partitioned 1.1 s after its return, and answered "no backend server" for 8 s although the servers were healthy.
     */
    @Test
    void serversThatAreMissingStayWhenTheStoreIsLostAgainBeforeTheGraceEnds() {
        directory.replaceAll(List.of(server("a", false), server("b", false)));
        directory.storeLost();
        directory.storeReturned();
        directory.replaceAll(List.of());
        clock.advance(Duration.ofMillis(BackendDirectory.MAX_RETENTION_MS));
        assertThat(directory.confirmationDue()).isTrue();
        directory.storeLost();
        clock.advance(Duration.ofSeconds(8));

        assertThat(directory.confirmationDue()).isFalse();
        assertThat(directory.usable("models")).hasSize(2);

        directory.storeReturned();
        directory.replaceAll(List.of(server("b", false)));
        clock.advance(Duration.ofMillis(BackendDirectory.MAX_RETENTION_MS));
        assertThat(directory.dropUnlisted(List.of(server("b", false)))).containsExactly("a");
    }

    /** Regression (lampka scale-2, seed 1079009271498): a server got a request 2,746 ms after it had left. */
    @Test
    void aServerThatLeavesSoonAfterTheReturnOfTheStoreIsDroppedWithinTheDrainBound() {
        directory.storeLost();
        directory.storeReturned();
        directory.replaceAll(List.of(server("a", false)));
        clock.advance(Duration.ofMillis(300));
        assertThat(directory.remove("a")).isTrue();
        clock.advance(Duration.ofMillis(200));
        directory.storeLost();
        directory.storeReturned();
        directory.replaceAll(List.of());
        clock.advance(Duration.ofMillis(1_300));

        assertThat(directory.confirmationDue()).isTrue();
        assertThat(directory.dropUnlisted(List.of())).containsExactly("a");
        assertThat(directory.usable("models")).isEmpty();
    }

    @Test
    void aDrainingServerTakesNoRequestsAndIsNotRetainedThroughAnOutage() {
        directory.replaceAll(List.of(server("a", true)));
        directory.storeLost();

        assertThat(directory.usable("models")).isEmpty();
        assertThat(directory.remove("a")).isFalse();
        assertThat(directory.all()).isEmpty();
    }

    @Test
    void withoutAnOutageARemovedServerIsDroppedAtOnce() {
        directory.storeReturned();
        directory.replaceAll(List.of(server("a", false)));

        assertThat(directory.remove("a")).isFalse();
        assertThat(directory.usable("models")).isEmpty();
    }

    private static BackendServer server(String id, boolean leaving) {
        return new BackendServer(id, "models", "10.0.0.1:80", "north", 64, leaving, 1);
    }
}
