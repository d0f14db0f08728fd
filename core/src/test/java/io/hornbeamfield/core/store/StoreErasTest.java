package io.hornbeamfield.core.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against revisions that are compared although the store has given their numbers out twice. */
final class StoreErasTest {
    private static final int SEARCHED_SEQUENCES = 20_000;
    private static final int EVENTS = 40;

    private final StoreEras eras = new StoreEras();

    private long answered(long era) {
        return eras.generationOf(eras.callStarted(), era).orElseThrow();
    }

    @Test
    void answersOfOneEraAreOfOneGeneration() {
        assertThat(answered(7)).isEqualTo(answered(7));
    }

    @Test
    void anAnswerOfAHigherEraBeginsAGeneration() {
        long before = answered(7);
        assertThat(answered(8)).isGreaterThan(before);
        assertThat(answered(12)).isGreaterThan(before + 1);
    }

    @Test
    void anAnswerThatALaterEraHasOvertakenIsOfNoGeneration() {
        long late = eras.callStarted();
        answered(1);
        long now = answered(2);
        assertThat(eras.generationOf(late, 1)).isEmpty();
        assertThat(answered(2)).isEqualTo(now);
    }

    /** Guards against a generation for each answer of a replica that has not seen the restore yet. */
    @Test
    void anOldAnswerOfALowerEraIsOfNoGeneration() {
        answered(1);
        long now = answered(2);
        assertThat(eras.generationOf(StoreEras.ANY_TIME, 1)).isEmpty();
        assertThat(eras.generationOf(StoreEras.ANY_TIME, 2)).hasValue(now);
        assertThat(answered(2)).isEqualTo(now);
    }

    /** Guards against a store with fewer eras than its predecessor, all answers of which would be taken for late. */
    @Test
    void aStoreThatCountsItsErasAnewBeginsAGeneration() {
        long before = answered(9);
        long after = answered(1);
        assertThat(after).isGreaterThan(before);
        assertThat(answered(1)).isEqualTo(after);
    }

    @Test
    void aStoreThatNamesNoEraIsOfOneGeneration() {
        assertThat(answered(0)).isEqualTo(answered(0));
    }

    @Test
    void aRevisionIsAtLeastAnEarlierOneOfItsGenerationAndAllOfEarlierGenerations() {
        StoreRevision earlier = new StoreRevision(1, 50);
        assertThat(new StoreRevision(1, 50).isAtLeast(earlier)).isTrue();
        assertThat(new StoreRevision(1, 49).isAtLeast(earlier)).isFalse();
        assertThat(new StoreRevision(2, 3).isAtLeast(earlier)).isTrue();
        assertThat(earlier.isAtLeast(new StoreRevision(2, 3))).isFalse();
        assertThat(earlier.isAtLeast(StoreRevision.NONE)).isTrue();
    }

    private record Call(long number, long sentInGeneration) {}

    /** Restores, calls that the store answers before or after one, and answers that arrive in any order. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void inAnyOrderAnswersOfOneGenerationAreOfOneEraAndLaterCallsAreOfNoEarlierGeneration(long seed) {
        Random random = new Random(seed);
        for (int sequence = 0; sequence < SEARCHED_SEQUENCES; sequence++) {
            search(random);
        }
    }

    private static void search(Random random) {
        StoreEras eras = new StoreEras();
        long era = 1;
        List<Call> sent = new ArrayList<>();
        Map<Call, Long> answers = new HashMap<>();
        Map<Long, Long> eraByGeneration = new HashMap<>();
        for (int event = 0; event < EVENTS; event++) {
            switch (random.nextInt(8)) {
                case 0 -> era += 1 + random.nextInt(2);
                case 1, 2, 3 -> sent.add(new Call(eras.callStarted(), eras.generation()));
                case 4, 5 -> {
                    if (!sent.isEmpty()) {
                        answers.put(sent.remove(random.nextInt(sent.size())), era);
                    }
                }
                default -> receiveOne(random, eras, answers, eraByGeneration);
            }
        }
    }

    private static void receiveOne(
            Random random, StoreEras eras, Map<Call, Long> answers, Map<Long, Long> eraByGeneration) {
        if (answers.isEmpty()) {
            return;
        }
        Call call = List.copyOf(answers.keySet()).get(random.nextInt(answers.size()));
        long named = answers.remove(call);
        OptionalLong generation = eras.generationOf(call.number(), named);
        if (generation.isPresent()) {
            assertThat(eraByGeneration.putIfAbsent(generation.getAsLong(), named))
                    .isIn(null, named);
            assertThat(generation.getAsLong()).isGreaterThanOrEqualTo(call.sentInGeneration());
        } else {
            assertThat(eraByGeneration.get(eras.generation())).isGreaterThan(named);
        }
    }
}
