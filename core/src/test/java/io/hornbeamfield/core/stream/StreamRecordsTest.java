package io.hornbeamfield.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class StreamRecordsTest {
    private static final StreamOrigin OLD = StreamOrigin.of("model", "1.0");
    private static final StreamOrigin NEW = StreamOrigin.of("model", "1.1");

    private final ManualClock clock = ManualClock.atEpochSecond(1_000);
    private final StreamRecords records = new StreamRecords(clock);

    private static StreamId stream(String attempt) {
        return new StreamId("plots", attempt);
    }

    @Test
    void anotherWorkspaceHasNoPartInAStream() {
        records.add(stream("a1"), OLD);
        assertThat(records.find(stream("a1"))).contains(OLD);
        assertThat(records.find(new StreamId("other", "a1"))).isEmpty();
        records.add(new StreamId("other", "a1"), NEW);
        assertThat(records.find(stream("a1"))).contains(OLD);
    }

    @Test
    void anIdThatTwoVersionsBeganProvesNothing() {
        assertThat(records.add(stream("a1"), OLD)).isTrue();
        assertThat(records.add(stream("a1"), OLD)).isFalse();
        assertThat(records.add(stream("a1"), NEW)).isTrue();
        assertThat(records.find(stream("a1")).orElseThrow().version()).isEmpty();
        assertThat(OriginLookup.of(records.find(stream("a1")).orElseThrow(), "model"))
                .isEqualTo(new OriginLookup.Result.Unknown());
        assertThat(records.add(stream("a1"), NEW)).as("remains void").isFalse();
    }

    @Test
    void aRecordExpires() {
        records.add(stream("a1"), OLD);
        clock.advance(Duration.ofMillis(StreamRecords.RETENTION_MS - 1));
        records.add(stream("a2"), OLD);
        assertThat(records.size()).isEqualTo(2);
        clock.advance(Duration.ofMillis(1));
        assertThat(records.find(stream("a1"))).isEmpty();
        assertThat(records.find(stream("a2"))).contains(OLD);
    }

    /** Replays a fleet of 300 in which one of eight instances is told a quarter of 1,600 streams a second. */
    @Test
    void theRecordsOfAMinuteOfALargeFleetFit() {
        int told = 400;
        for (int second = 0; second < 90; second++) {
            for (int i = 0; i < told; i++) {
                records.add(stream(second + "-" + i), OLD);
            }
            clock.advance(Duration.ofSeconds(1));
        }
        assertThat(records.size()).isLessThanOrEqualTo(60 * told);
        assertThat(records.find(stream("89-0"))).contains(OLD);
        assertThat(records.find(stream("35-0"))).contains(OLD);
        for (int i = 0; i < StreamRecords.MAX_RECORDS; i++) {
            records.add(stream("many-" + i), OLD);
        }
        assertThat(records.size()).isEqualTo(StreamRecords.MAX_RECORDS);
        assertThat(records.find(stream("89-0"))).isEmpty();
    }
}
