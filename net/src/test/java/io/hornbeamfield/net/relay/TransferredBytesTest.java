package io.hornbeamfield.net.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.metrics.TransferredBytes;
import java.util.List;
import org.junit.jupiter.api.Test;

final class TransferredBytesTest {
    private static final int BODY_BYTES = 300_000;
    private static final int MAX_HEAD_BYTES = 1_000;

    @Test
    void bothEndsCountWhatTheyReceiveAndSend() {
        TransferredBytes server = new TransferredBytes();
        TransferredBytes client = new TransferredBytes();
        try (RelayTransport transport = RelayTransport.start("counted", new Serial(), server);
                HttpClient http = HttpClient.create("counting", client)) {
            int port = transport.listen(
                    "127.0.0.1:0",
                    () -> InboundLimits.DEFAULT,
                    r -> r.reply(200, List.of(), new byte[r.body().length]));
            HttpReply reply = http.send(HttpCall.post("http://127.0.0.1:" + port + "/")
                            .body(new byte[BODY_BYTES])
                            .build())
                    .join();
            assertThat(reply.body()).hasSize(BODY_BYTES);
        }
        for (long counted : new long[] {server.received(), server.sent(), client.received(), client.sent()}) {
            assertThat(counted).isBetween((long) BODY_BYTES, (long) BODY_BYTES + MAX_HEAD_BYTES);
        }
    }
}
