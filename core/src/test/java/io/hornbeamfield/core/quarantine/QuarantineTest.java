package io.hornbeamfield.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Guards against holding sound parts of prompts responsible for crashes, and against missing the one that is. */
final class QuarantineTest {
    private static final Predicate<String> NEVER_SERVED = part -> false;

    @SafeVarargs
    private static CrashReport crash(String server, Set<String>... requests) {
        return new CrashReport("model", server, List.of(requests));
    }

    private static CrashEvidence evidence(CrashReport... crashes) {
        return new CrashEvidence(List.of(crashes), Map.of());
    }

    private static boolean refuses(Quarantine quarantine, String... parts) {
        return quarantine.culpritIn("model", List.of(parts)).isPresent();
    }

    @Test
    void aPartIsHeldResponsibleForCrashesThatThreeInstancesSawOnceEach() {
        CrashEvidence first = evidence(crash("s1", Set.of("rules", "dead"), Set.of("rules", "a")));
        CrashEvidence second = evidence(crash("s2", Set.of("other", "dead"), Set.of("b")));
        CrashEvidence third = evidence(crash("s3", Set.of("rules", "dead")));
        Quarantine before = Quarantine.of(List.of(first, second), NEVER_SERVED);
        assertThat(refuses(before, "rules", "dead")).isFalse();
        Quarantine after = Quarantine.of(List.of(first, second, third), NEVER_SERVED);
        assertThat(refuses(after, "anything", "dead")).isTrue();
        assertThat(refuses(after, "rules", "a", "b")).isFalse();
        assertThat(after.culpritIn("other-model", List.of("dead"))).isEmpty();
    }

    @Test
    void oneCrashThatManyInstancesSawCountsOnce() {
        CrashEvidence seen = evidence(crash("s1", Set.of("dead")));
        assertThat(refuses(Quarantine.of(List.of(seen, seen, seen, seen), NEVER_SERVED), "dead"))
                .isFalse();
    }

    @Test
    void partsThatCameOnlyTogetherAreRefusedOnlyTogether() {
        Set<String> request = Set.of("subject", "dead");
        CrashEvidence three = evidence(crash("s1", request), crash("s2", request), crash("s3", request));
        Quarantine together = Quarantine.of(List.of(three), NEVER_SERVED);
        assertThat(refuses(together, "subject", "dead")).isTrue();
        assertThat(refuses(together, "subject", "sound")).isFalse();
        CrashEvidence fourth = evidence(crash("s4", Set.of("dead", "another")));
        Quarantine apart = Quarantine.of(List.of(three, fourth), NEVER_SERVED);
        assertThat(refuses(apart, "dead", "new")).isTrue();
        assertThat(refuses(apart, "subject", "sound")).isFalse();
    }

    @Test
    void aPartThatWasServedAfterTheCrashesIsNotHeldResponsible() {
        Set<String> request = Set.of("subject", "dead");
        CrashEvidence three = evidence(crash("s1", request), crash("s2", request), crash("s3", request));
        CrashEvidence served = new CrashEvidence(List.of(), Map.of("subject", Set.of("s1", "s2", "s3")));
        Quarantine quarantine = Quarantine.of(List.of(three, served), NEVER_SERVED);
        assertThat(refuses(quarantine, "dead")).isTrue();
        assertThat(refuses(quarantine, "subject")).isFalse();
    }

    @Test
    void aCrashThatACulpritExplainsDoesNotCountAgainstItsNeighbours() {
        CrashEvidence crashes = evidence(
                crash("s1", Set.of("dead"), Set.of("rare")),
                crash("s2", Set.of("dead"), Set.of("rare")),
                crash("s3", Set.of("dead")),
                crash("s4", Set.of("rare")));
        Quarantine quarantine = Quarantine.of(List.of(crashes), NEVER_SERVED);
        assertThat(refuses(quarantine, "dead")).isTrue();
        assertThat(refuses(quarantine, "rare")).isFalse();
        assertThat(quarantine.isSuspect("model", List.of("rare"), "s9")).isTrue();
        assertThat(quarantine.isSuspect("model", List.of("rare"), "s4")).isFalse();
    }

    @Test
    void aPartThatIsInManyRequestsNeedsMoreCrashesThanOneThatWasNeverServed() {
        CrashEvidence crashes = evidence(
                crash("s1", Set.of("rules", "dead")),
                crash("s2", Set.of("rules", "dead")),
                crash("s3", Set.of("rules", "dead")),
                crash("s4", Set.of("rules")));
        Quarantine quarantine = Quarantine.of(List.of(crashes), "rules"::equals);
        assertThat(refuses(quarantine, "rules", "dead")).isTrue();
        assertThat(refuses(quarantine, "rules", "sound")).isFalse();
    }
}
