package io.hornbeamfield.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a header that is not read or that fails. */
final class KeepAliveTimeoutTest {
    @ParameterizedTest
    @CsvSource({
        "timeout=5, 5000",
        "'timeout=5, max=100', 5000",
        "'max=100, timeout=5', 5000",
        "timeout=0, 0",
        "timeout=, 0",
        "timeout=x, 0",
        "max=100, 0",
        "'', 0",
        "timeout=99999999999999999999, 999999999000",
    })
    void theTimeoutIsReadFromAnyHeader(String header, long ms) {
        assertThat(KeepAliveTimeout.ms(header)).isEqualTo(ms);
    }
}
