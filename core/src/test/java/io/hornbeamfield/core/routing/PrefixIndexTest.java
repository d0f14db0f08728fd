package io.hornbeamfield.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against unbounded memory use, and against false cache hits after delayed or lost events. */
class PrefixIndexTest {
    private final PrefixIndex index = new PrefixIndex(3);

    private long cached(String hash) {
        return index.cachedBytes("s", List.of(new PromptPrefix(hash, 10)));
    }

    @Test
    void theLongestStoredPrefixCounts() {
        List<PromptPrefix> prompt = PromptPrefix.builder()
                .message("system", "abc")
                .message("user", "de")
                .message("user", "f")
                .build();
        index.stored("s", 1, prompt.get(0).hash());
        index.stored("s", 2, prompt.get(1).hash());
        assertThat(index.cachedBytes("s", prompt)).isEqualTo(5);
        index.evicted("s", 3, prompt.get(1).hash());
        assertThat(index.cachedBytes("s", prompt)).isEqualTo(3);
    }

    @Test
    void theLeastRecentlyUsedPrefixesAreEvictedAboveTheBound() {
        for (int i = 1; i <= 10; i++) {
            index.stored("s", i, "p" + i);
        }
        assertThat(index.size("s")).isEqualTo(3);
        assertThat(cached("p7")).isZero();
        assertThat(cached("p8")).isEqualTo(10);
    }

    @Test
    void aGapDropsAsManyOfTheOldestPrefixesAsEventsAreMissing() {
        index.stored("s", 1, "p1");
        index.stored("s", 2, "p2");
        index.stored("s", 4, "p4");
        assertThat(cached("p1")).isZero();
        assertThat(cached("p2")).isEqualTo(10);
    }

    @Test
    void sequenceNumbersThatRestartMeanAnEmptyCache() {
        index.stored("s", 500, "old");
        index.stored("s", 1, "new");
        assertThat(cached("old")).isZero();
        assertThat(cached("new")).isEqualTo(10);
    }

    @Test
    void aDuplicateEventChangesNothing() {
        index.stored("s", 4, "p4");
        index.stored("s", 5, "p5");
        index.stored("s", 5, "p5");
        assertThat(cached("p4")).isEqualTo(10);
    }

    @Test
    void theHashOfAPrefixDependsOnAllPrecedingMessages() {
        String a = PromptPrefix.builder()
                .message("user", "x")
                .message("user", "y")
                .build()
                .get(1)
                .hash();
        String b = PromptPrefix.builder()
                .message("user", "z")
                .message("user", "y")
                .build()
                .get(1)
                .hash();
        assertThat(a).isNotEqualTo(b).hasSize(16);
    }
}
