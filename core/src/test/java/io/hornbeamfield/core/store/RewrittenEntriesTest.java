package io.hornbeamfield.core.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.ManualClock;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against entries that are given up because a copy of the store lacks them. */
final class RewrittenEntriesTest {
    private static final long REWRITE_MS = 3_000;

    private final ManualClock clock = ManualClock.atEpochSecond(0);
    private final RewrittenEntries<Integer> entries = new RewrittenEntries<>(clock, REWRITE_MS);
    private long number = 100;

    private Map<String, Integer> listed(long generation, Map<String, Integer> list) {
        return entries.listed(new StoreRevision(generation, number++), list);
    }

    @Test
    void withoutARestoreTheListCounts() {
        listed(0, Map.of("a", 1, "b", 2));
        assertThat(listed(0, Map.of("b", 3))).isEqualTo(Map.of("b", 3));
        assertThat(entries.isBeingRewritten()).isFalse();
    }

    @Test
    void theFirstListCountsInAnyGeneration() {
        assertThat(listed(4, Map.of("a", 1))).isEqualTo(Map.of("a", 1));
        assertThat(entries.isBeingRewritten()).isFalse();
    }

    @Test
    void anEntryThatTheCopyLacksCountsUntilItsWriterHasHadTheTimeToWriteIt() {
        listed(0, Map.of("a", 1, "b", 2));
        assertThat(listed(1, Map.of("a", 1))).isEqualTo(Map.of("a", 1, "b", 2));
        assertThat(entries.isBeingRewritten()).isTrue();
        clock.advance(Duration.ofMillis(REWRITE_MS));
        assertThat(listed(1, Map.of("a", 1))).isEqualTo(Map.of("a", 1));
    }

    @Test
    void anOlderEntryOfTheCopyIsReplacedByTheKnownOneUntilItIsWrittenAgain() {
        listed(0, Map.of("a", 5));
        assertThat(listed(1, Map.of("a", 3))).isEqualTo(Map.of("a", 5));
        assertThat(listed(1, Map.of("a", 6))).isEqualTo(Map.of("a", 6));
    }

    @Test
    void anEntryThatIsRemovedAfterTheRestoreIsGone() {
        listed(0, Map.of("a", 1, "b", 2));
        listed(1, Map.of("a", 1, "b", 2));
        assertThat(listed(1, Map.of("a", 1))).isEqualTo(Map.of("a", 1));
    }

    @Test
    void aNewEntryCountsAtOnce() {
        listed(0, Map.of("a", 1));
        assertThat(listed(1, Map.of("b", 2))).isEqualTo(Map.of("a", 1, "b", 2));
    }

    /** Guards against a second restore, while entries are still missing, that gives up what the first one lacked. */
    @Test
    void afterASecondRestoreEntriesThatTheFirstCopyLackedStillCount() {
        listed(0, Map.of("a", 1, "b", 2));
        listed(1, Map.of("a", 1));
        clock.advance(Duration.ofMillis(REWRITE_MS - 1));
        assertThat(listed(2, Map.of())).isEqualTo(Map.of("a", 1, "b", 2));
        clock.advance(Duration.ofMillis(REWRITE_MS - 1));
        assertThat(listed(2, Map.of("a", 1))).isEqualTo(Map.of("a", 1, "b", 2));
    }
}
