package io.hornbeamfield.core.result;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against documentation of result codes that differs from the codes in use. */
class ResultCodePageTest {
    @Test
    void thePageListsEveryCodeWithItsStatusAndWhetherTheRequestRan() throws IOException {
        List<String> rows = Files.readAllLines(Path.of("../docs/RESULT-CODES.md")).stream()
                .filter(l -> l.matches("\\| \\d{4} .*"))
                .map(l -> String.join("|", Arrays.asList(l.split(" *\\| *")).subList(1, 6)))
                .toList();
        assertThat(rows)
                .containsExactlyElementsOf(Arrays.stream(ResultCode.values())
                        .map(c -> String.join(
                                "|",
                                Integer.toString(c.number()),
                                c.name(),
                                Integer.toString(c.httpStatus()),
                                c.ran().wireName(),
                                c.title()))
                        .toList());
    }
}
