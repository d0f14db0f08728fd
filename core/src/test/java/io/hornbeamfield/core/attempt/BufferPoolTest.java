package io.hornbeamfield.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against answers that use up the memory of a process together, although each of them is small enough. */
final class BufferPoolTest {
    private static final long LIMIT = 10_000;

    private final BufferPool pool = new BufferPool(LIMIT);
    private final List<Answer> ended = new ArrayList<>();

    private final class Answer implements BufferPool.Holder {
        private long bytes;
        private boolean kept;
        private long waitedMs = 1;

        Answer() {
            pool.add(this);
        }

        Answer grow(int more) {
            bytes += more;
            pool.grown(more);
            return this;
        }

        @Override
        public long bufferedBytes() {
            return bytes;
        }

        @Override
        public boolean mayBeReleased() {
            return !kept;
        }

        @Override
        public long releaseOrder() {
            return bytes * waitedMs;
        }

        @Override
        public void release() {
            bytes = 0;
            ended.add(this);
        }
    }

    @Test
    void answersThatFitTogetherAreKept() {
        for (int i = 0; i < 10; i++) {
            new Answer().grow(1_000);
        }
        assertThat(ended).isEmpty();
    }

    @Test
    void anAnswerThatWaitsLongIsEndedBeforeALargerNewOne() {
        Answer old = new Answer().grow(4_000);
        old.waitedMs = 1_000;
        Answer first = new Answer().grow(5_000);
        first.grow(2_000);
        assertThat(ended).containsExactly(old);
    }

    @Test
    void theLargestAnswerIsEndedAndNotTheOneThatGrewLast() {
        Answer large = new Answer().grow(6_000);
        Answer medium = new Answer().grow(3_000);
        Answer small = new Answer().grow(900);
        small.grow(101);
        assertThat(ended).containsExactly(large);
        assertThat(medium.bufferedBytes() + small.bufferedBytes()).isEqualTo(4_001);
    }

    @Test
    void theLargestOfThoseThatMayBeEndedIsEnded() {
        Answer kept = new Answer().grow(6_000);
        kept.kept = true;
        Answer medium = new Answer().grow(3_000);
        new Answer().grow(900).grow(101);
        assertThat(ended).containsExactly(medium);
        assertThat(new Answer().grow(6_000).bufferedBytes()).isZero();
    }

    @Test
    void releasedBytesAreAvailableAgain() {
        for (int i = 0; i < 100; i++) {
            Answer a = new Answer().grow(5_000);
            a.bytes = 0;
            pool.remove(a);
        }
        assertThat(ended).isEmpty();
    }

    @Test
    void manyAnswersWithoutAnEndNeverOccupyMoreThanTheLimit() {
        List<Answer> answers = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            answers.add(new Answer());
        }
        for (int round = 0; round < 100; round++) {
            answers.stream().filter(a -> !ended.contains(a)).toList().forEach(a -> a.grow(500));
            assertThat(answers.stream().mapToLong(Answer::bufferedBytes).sum()).isLessThanOrEqualTo(LIMIT);
        }
    }
}
