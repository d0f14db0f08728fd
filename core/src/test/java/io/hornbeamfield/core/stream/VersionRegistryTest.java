package io.hornbeamfield.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class VersionRegistryTest {
    private static final ServiceVersion OLD = new ServiceVersion("model", "1.0");
    private static final ServiceVersion NEW = new ServiceVersion("model", "1.1");

    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final VersionRegistry registry = new VersionRegistry(clock);
    private VersionRecord stored = VersionRecord.empty();

    private void write() {
        stored = registry.completed(stored);
        registry.confirmed(stored);
    }

    private void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }

    @Test
    void aVersionIsUsedOnceTheStoreHasRecordedIt() {
        registry.registered(Set.of(OLD));
        assertThat(registry.unrecorded()).containsExactly(OLD);
        assertThat(registry.recorded()).isEmpty();
        VersionRecord next = registry.completed(stored);
        assertThat(registry.recorded()).as("not yet confirmed").isEmpty();
        registry.confirmed(next);
        assertThat(registry.recorded()).containsExactly(OLD);
        assertThat(registry.unrecorded()).isEmpty();
    }

    @Test
    void aVersionThatOthersRecordedIsKept() {
        stored = new VersionRecord(Map.of("model", Set.of("0.9")));
        registry.registered(Set.of(OLD, NEW));
        write();
        assertThat(stored.of("model")).containsExactlyInAnyOrder("0.9", "1.0", "1.1");
    }

    @Test
    void aVersionIsRemovedLongAfterItsLastServer() {
        registry.registered(Set.of(OLD, NEW));
        write();
        registry.registered(Set.of(NEW));
        advance(VersionRegistry.REMOVAL_MS - 1);
        assertThat(registry.removalDue()).isFalse();
        advance(1);
        assertThat(registry.removalDue()).isTrue();
        write();
        assertThat(stored.of("model")).containsExactly("1.1");
        assertThat(registry.removalDue()).isFalse();
    }

    @Test
    void aServiceHasSeveralVersionsAsSoonAsASecondOneIsRegistered() {
        registry.registered(Set.of(OLD, new ServiceVersion("plain", "7")));
        write();
        assertThat(registry.hasSeveralVersions()).isFalse();
        registry.registered(Set.of(NEW, new ServiceVersion("plain", "7")));
        assertThat(registry.hasSeveralVersions()).isTrue();
        assertThat(registry.hasSeveralVersions("model")).isTrue();
        assertThat(registry.hasSeveralVersions("plain")).isFalse();
    }

    /** Guards against an instance that uses a version which another one has removed from the record since. */
    @Test
    void aVersionThatReturnsAfterAMinuteIsConfirmedAgain() {
        registry.registered(Set.of(OLD, NEW));
        write();
        registry.registered(Set.of(NEW));
        advance(VersionRegistry.RECONFIRMATION_MS - 1);
        registry.registered(Set.of(OLD, NEW));
        assertThat(registry.recorded()).contains(OLD);
        registry.registered(Set.of(NEW));
        advance(VersionRegistry.RECONFIRMATION_MS);
        registry.registered(Set.of(OLD, NEW));
        assertThat(registry.recorded()).doesNotContain(OLD);
        assertThat(registry.unrecorded()).containsExactly(OLD);
    }

    /** Guards against a version that is removed because its registrations were not seen during an outage. */
    @Test
    void theTimeOfAnOutageDoesNotCountForTheRemoval() {
        registry.registered(Set.of(OLD, NEW));
        write();
        registry.registered(Set.of(NEW));
        advance(VersionRegistry.REMOVAL_MS);
        registry.storeLost();
        assertThat(registry.removalDue()).isFalse();
        assertThat(registry.recorded()).as("may have been removed meanwhile").containsExactly(NEW);
    }

    /** An instance that starts finds versions of servers that have left. */
    @Test
    void aRecordedVersionWithoutAnyServerIsKeptForTheWholeTime() {
        stored = new VersionRecord(Map.of("model", Set.of("1.0")));
        registry.registered(Set.of(NEW));
        write();
        assertThat(stored.of("model")).containsExactlyInAnyOrder("1.0", "1.1");
        advance(VersionRegistry.REMOVAL_MS);
        write();
        assertThat(stored.of("model")).containsExactly("1.1");
    }

    /** Guards against a record of one version that a copy of the store shows although two may have begun streams. */
    @Test
    void aVersionThatTheCopyOfARestoredStoreLacksIsWrittenAgain() {
        registry.registered(Set.of(OLD, NEW));
        write();
        registry.registered(Set.of(NEW));
        VersionRecord copy = new VersionRecord(Map.of("model", Set.of("1.1")));
        registry.storeLost();
        registry.storeRestored();
        assertThat(registry.withLost(copy).of("model")).containsExactlyInAnyOrder("1.0", "1.1");
        stored = copy;
        write();
        assertThat(stored.of("model")).containsExactlyInAnyOrder("1.0", "1.1");
    }

    @Test
    void aVersionOfBeforeARestoreIsRemovedLongAfterItsLastServer() {
        registry.registered(Set.of(OLD, NEW));
        write();
        registry.storeRestored();
        registry.registered(Set.of(NEW));
        advance(VersionRegistry.REMOVAL_MS);
        write();
        assertThat(stored.of("model")).containsExactly("1.1");
        assertThat(registry.withLost(stored)).isEqualTo(stored);
    }
}
