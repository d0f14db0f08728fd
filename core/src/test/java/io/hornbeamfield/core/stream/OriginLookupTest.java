package io.hornbeamfield.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class OriginLookupTest {
    private static final VersionRecord ONE =
            new VersionRecord(Map.of("model", Set.of("1.0"), "plain", Set.of("7", "8")));
    private static final VersionRecord TWO = new VersionRecord(Map.of("model", Set.of("1.0", "1.1")));
    private static final Optional<OriginLookup.Result> UNKNOWN = Optional.of(new OriginLookup.Result.Unknown());

    private final OriginLookup lookup = new OriginLookup("model", Set.of("x", "y"));

    private static Optional<OriginLookup.Result> known(String version) {
        return Optional.of(new OriginLookup.Result.Known(version));
    }

    @Test
    void theOnlyVersionOfAServiceBeganItsStreams() {
        lookup.recordRead(ONE, Set.of("1.0"));
        assertThat(lookup.result()).isEqualTo(known("1.0"));
    }

    @Test
    void aRegistrationThatTheRecordLacksMakesItUncertain() {
        lookup.recordRead(ONE, Set.of("1.1"));
        lookup.timedOut();
        assertThat(lookup.result()).isEqualTo(UNKNOWN);
    }

    /** Guards against streams that are joined after an operator has deleted the record. */
    @Test
    void aRecordWithoutTheServiceProvesNothing() {
        lookup.recordRead(VersionRecord.empty(), Set.of("1.1"));
        lookup.timedOut();
        assertThat(lookup.result()).isEqualTo(UNKNOWN);
    }

    @Test
    void amongSeveralVersionsAnInstanceThatRemembersTheStreamDecides() {
        lookup.recordRead(TWO, Set.of("1.1"));
        lookup.instanceAnswered("x", Optional.empty());
        assertThat(lookup.result()).as("another one may know").isEmpty();
        lookup.instanceAnswered("y", Optional.of(StreamOrigin.of("model", "1.0")));
        assertThat(lookup.result()).isEqualTo(known("1.0"));
    }

    @Test
    void aStreamOfAnotherServiceOrOfTwoVersionsIsNotThisOne() {
        assertThat(OriginLookup.of(StreamOrigin.of("plain", "7"), "model")).isEqualTo(UNKNOWN.orElseThrow());
        assertThat(OriginLookup.of(new StreamOrigin("model", Optional.empty()), "model"))
                .isEqualTo(UNKNOWN.orElseThrow());
    }

    @Test
    void aStreamIsRefusedAsSoonAsNobodyElseCanKnowIt() {
        lookup.recordUnread();
        lookup.instanceAnswered("x", Optional.empty());
        assertThat(lookup.result()).isEmpty();
        lookup.instanceAnswered("y", Optional.empty());
        assertThat(lookup.result()).isEqualTo(UNKNOWN);
    }

    @Test
    void withoutInstancesAndStoreATimeoutEndsTheLookup() {
        assertThat(lookup.result()).isEmpty();
        lookup.timedOut();
        assertThat(lookup.result()).isEqualTo(UNKNOWN);
    }
}
