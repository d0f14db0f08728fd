package io.hornbeamfield.net.settings;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against invalid settings that are accepted and against errors that do not name the invalid value. */
class SettingsLoaderTest {
    private static Result<DemoSettings> parse(String json) {
        return SettingsLoader.parse(json.getBytes(UTF_8), "Settings file demo.json", DemoSettings.class);
    }

    private static Refusal refusalOf(Result<DemoSettings> result) {
        return result.fold(
                value -> {
                    throw new AssertionError("accepted " + value);
                },
                refusal -> refusal);
    }

    @Test
    void validSettingsAreParsedIntoTheRecord() {
        Result<DemoSettings> result = parse("{\"name\":\"n\",\"port\":80,\"places\":[{\"zone\":\"a\"}]}");
        assertThat(result).isEqualTo(Result.ok(new DemoSettings("n", 80, List.of(new DemoSettings.Place("a")))));
    }

    @Test
    void everyInvalidValueIsReportedWithItsPath() {
        Refusal refusal = refusalOf(parse("{\"port\":70000,\"places\":[{\"zone\":\"a\"},{\"zone\":1,\"rack\":2}]}"));
        assertThat(refusal.code()).isEqualTo(ResultCode.INVALID_SETTINGS);
        assertThat(refusal.detail())
                .contains("/name: this field is missing, add it")
                .contains("/port: must have a maximum value of 65535")
                .contains("/places/1/zone: integer found, string expected")
                .contains("/places/1/rack: this field does not exist");
    }

    @Test
    void malformedJsonIsRefusedWithItsLineNumber() {
        assertThat(refusalOf(parse("{\"name\":")).detail()).contains("not valid JSON", "line: 1");
    }

    @Test
    void missingFileIsRefusedWithAdvice() {
        Refusal refusal = refusalOf(SettingsLoader.load(Path.of("no-such-file.json"), DemoSettings.class));
        assertThat(refusal.detail()).contains("no-such-file.json", "--settings");
    }
}
