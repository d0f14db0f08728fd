package io.hornbeamfield.it.judge;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamfield.net.json.Json;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Counts of a run and the promises that were broken in it. */
public record Verdict(
        @JsonProperty("requests") long requests,
        @JsonProperty("answered") long answered,
        @JsonProperty("refused_not_run") long refusedNotRun,
        @JsonProperty("unknown") long unknown,
        @JsonProperty("overspend_tokens") long overspendTokens,
        @JsonProperty("double_billed") long doubleBilled,
        @JsonProperty("double_run") long doubleRun,
        @JsonProperty("false_refusals") long falseRefusals,
        @JsonProperty("false_refusal_rate") double falseRefusalRate,
        @JsonIgnore List<String> brokenPromises) {

    /** Returns the counts as one JSON line. */
    public String line() {
        return new String(Json.bytes(this), StandardCharsets.UTF_8);
    }

    /** Returns whether every promise was kept. */
    public boolean kept() {
        return brokenPromises.isEmpty();
    }
}
