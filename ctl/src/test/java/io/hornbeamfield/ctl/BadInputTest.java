package io.hornbeamfield.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.ctl.CtlFixture.Outcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against invalid input being written, and against errors that name neither the path nor the remedy. */
class BadInputTest {
    private final CtlFixture ctl = new CtlFixture();

    @AfterEach
    void stop() {
        ctl.close();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\'',
            value = {
                "{\"presets\":{\"peak\":{\"queueLimits\":1}}} | presets.peak.queueLimits: does not exist. Remove it",
                "{\"preset\":{}} | preset: does not exist",
                "{\"presets\":{\"peak\":{\"queueLimit\":\"many\"}}} | presets.peak.queueLimit: has the wrong type",
                "{\"presets\":{\"peak\":{\"queueLimit\":1.5}}} | presets.peak.queueLimit: has the wrong type",
                "{\"presets\":{\"peak\":{\"queueLimit\":null}}} | presets.peak.queueLimit: has the wrong type",
                "{\"presets\":{\"peak\":{\"queueLimit\":99999999999}}} | presets.peak.queueLimit: is out of range",
                "{\"presets\":{\"peak\":{\"retryRatio\":2}}} | presets.peak.retryRatio: is 2.0. Use a value from 0.0",
                "{\"presets\":{\"peak\":{\"minPriority\":\"urgent\"}}} | presets.peak.minPriority",
                "{\"presets\":{\"night\":{\"queueLimit\":1}}} | presets.night.maxShareOfFree: is missing. Add it",
                "{\"presets\":{\"peak\":null}} | presets.peak: is missing",
                "{\"activePreset\":\"rush\"} | activePreset: names the preset \"rush\", which does not exist",
                "{\"pools\":{\"models\":{\"kind\":\"cache\"}}} | pools.models.kind",
                "{\"pools\":{\"models\":{\"models\":[\"m\",7]}}} | pools.models.models[1]: has the wrong type",
                "{\"pools\":{\"models\":{\"servers\":{\"runner-1\":{\"address\":\"host:1\"}}}}} | Use ip:port",
                "{\"budgets\":{\"plots\":{\"initialGrant\":-1}}} | budgets.plots.initialGrant: is out of range",
                "{\"budgets\":{\"barn\":{\"initialGrant\":1}}} | budgets.barn: belongs to the workspace \"barn\"",
                "{\"workspaces\":{\"sheds\":{\"keyHashes\":[\"secret\"]}}} | workspaces.sheds.keyHashes[0]: is not",
                "{\"activePreset\":\"peak\",\"activePreset\":\"ordinary\"} | Duplicate field",
                "{\"activePreset\": | is not valid JSON",
                "[] | document: has the wrong type",
            })
    void aFaultyDocumentIsRefusedWithItsPathAndNothingIsWritten(String document, String message) {
        ctl.applyCompleteDocument();
        Object writes = ctl.platform.stats().get("writes");
        Outcome outcome = ctl.runWithDocument("apply", document);
        assertThat(outcome.err()).contains("1010 INVALID_CONFIGURATION").contains(message);
        assertThat(outcome.status()).isEqualTo(2);
        assertThat(ctl.platform.stats()).containsEntry("writes", writes);
        assertThat(ctl.get().path("revision").asLong()).isEqualTo(1);
    }

    @Test
    void allFaultsOfADocumentAreReportedAtOnce() {
        Outcome outcome =
                ctl.runWithDocument("apply", "{\"activePreset\":7,\"pools\":[],\"presets\":{\"peak\":{\"x\":1}}}");
        assertThat(outcome.err()).contains("3 errors", "activePreset:", "pools:", "presets.peak.x:");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '"',
            value = {
                "presets switch rush | 2 | 1011 UNKNOWN_PRESET | Use one of: maintenance, ordinary, peak",
                "drain cache runner-1 | 2 | 1005 UNKNOWN_POOL | Use one of: models",
                "drain models runner-9 | 2 | 1010 INVALID_CONFIGURATION | Use one of: runner-1, runner-2",
                "retire models runner-1 | 2 | 1010 INVALID_CONFIGURATION | Run drain models runner-1 first",
                "workspaces add Plots | 2 | 1010 INVALID_CONFIGURATION | lower-case",
                "workspaces add plots | 3 | 1012 CONFLICT | workspaces add-key plots",
                "workspaces add-key barn | 2 | 1010 INVALID_CONFIGURATION | workspaces add barn",
                "budgets show barn | 4 | 2003 NO_BUDGET | budgets list",
                "budgets topup plots 0 | 2 | 1001 MALFORMED_REQUEST | at least one token",
                "budgets topup plots many | 2 | 1001 MALFORMED_REQUEST | argument tokens: could not convert 'many'",
                "budgets topup plots 9223372036854775807 | 2 | 1001 MALFORMED_REQUEST | Add fewer tokens",
                "budgets release --holder r1 --spent 1 | 2 | 1001 MALFORMED_REQUEST | Use the incarnation",
                "budgets release --holder r1-00000001 --spent 1 | 4 | 2003 NO_BUDGET | budgets show",
                "apply -f /nonexistent.json | 2 | 1001 MALFORMED_REQUEST | cannot be read",
                "dump r9 | 2 | 1001 MALFORMED_REQUEST | See status",
                "frobnicate | 2 | 1001 MALFORMED_REQUEST | --help",
            })
    void aCommandThatNamesTheWrongThingSaysWhatToUse(String command, int status, String code, String advice) {
        ctl.applyCompleteDocument();
        Outcome outcome = ctl.run(command.split(" "));
        assertThat(outcome.err()).contains(code).contains(advice);
        assertThat(outcome.status()).isEqualTo(status);
    }

    @Test
    void aMissingOrMalformedPlatformAddressIsRefusedWithACode() {
        assertThat(CtlFixture.runVerbatim("get").err()).contains("1013 INVALID_SETTINGS", "--platform is missing");
        assertThat(CtlFixture.runVerbatim("--platform", "platform", "--token", "t", "get")
                        .err())
                .contains("1013 INVALID_SETTINGS", "ip:port");
    }

    @Test
    void commandsBeforeTheFirstApplySayHowToWriteAConfiguration() {
        assertThat(ctl.run("presets", "switch", "peak").err()).contains("apply -f FILE");
    }

    @Test
    void aWrongTokenOrAPlatformThatIsDownIsReportedAsUnavailable() {
        String address = "127.0.0.1:" + ctl.platform.port();
        Outcome wrongToken = CtlFixture.runVerbatim("--platform", address, "--token", "x", "get");
        assertThat(wrongToken.err()).contains("5001 PLATFORM_UNAVAILABLE", "401", "--token");
        ctl.platform.close();
        assertThat(ctl.run("get").status()).isEqualTo(5);
    }
}
