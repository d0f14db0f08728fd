package io.hornbeamfield.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against taking a copy of an earlier answer for the answer to the request in flight. */
final class AnswerMatchTest {
    @ParameterizedTest(name = "request {0}, answer {1}, connection reused {2}: {3}")
    @CsvSource({
        "a, a, false, OWN",
        "a, a, true, OWN",
        "a, b, false, OTHER",
        "a, b, true, OTHER",
        "a, '', false, OWN",
        "a, '', true, UNPROVEN",
        "'', b, true, OTHER",
        "'', '', true, OWN",
    })
    void anAnswerBelongsToTheRequestWithItsIdOrToTheOnlyOneOfItsConnection(
            String request, String answer, boolean reused, AnswerMatch expected) {
        assertThat(AnswerMatch.of(request, answer, reused)).isEqualTo(expected);
    }
}
