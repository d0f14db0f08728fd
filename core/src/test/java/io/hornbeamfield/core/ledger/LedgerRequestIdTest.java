package io.hornbeamfield.core.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.identity.RequestKey;
import io.hornbeamfield.core.result.Result;
import org.junit.jupiter.api.Test;

/** Tests that workspaces never share a bill and that the owner of a bill can be determined from its request id. */
class LedgerRequestIdTest {
    private final RequestKey key = new RequestKey("east-1-0f3a9c21", 1_000, "k7Wm2QpX");

    @Test
    void theSameKeyInTwoWorkspacesHasTwoIds() {
        assertThat(new LedgerRequestId(key, "plots").text())
                .isEqualTo("east-1-0f3a9c21.1000.k7Wm2QpX/plots")
                .isNotEqualTo(new LedgerRequestId(key, "other").text());
    }

    @Test
    void theOwnerIsReadFromTheText() {
        LedgerRequestId id = new LedgerRequestId(key, "plots");
        assertThat(LedgerRequestId.parse(id.text())).isEqualTo(Result.ok(id));
        assertThat(id.owner()).isEqualTo("east-1-0f3a9c21");
        assertThat(LedgerRequestId.parse(key.text())).isInstanceOf(Result.Refused.class);
    }
}
