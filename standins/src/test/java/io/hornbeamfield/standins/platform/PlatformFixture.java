package io.hornbeamfield.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import io.hornbeamfield.core.time.ManualClock;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.HttpPlatformClient;
import io.hornbeamfield.net.platform.PlatformClient;
import io.hornbeamfield.net.platform.WriteResult;

/** A platform stand-in on a paused clock with a client. */
final class PlatformFixture implements AutoCloseable {
    final ManualClock clock = ManualClock.atEpochSecond(1_000_000);
    final PlatformStandIn platform =
            PlatformStandIn.builder().token("t").seed(7).clock(clock).start();
    final HttpClient http = HttpClient.create("test");
    final PlatformClient client = new HttpPlatformClient(http, "127.0.0.1:" + platform.port(), "t");

    WriteResult write(String key, long expected, int value) {
        return client.write(key, expected, IntNode.valueOf(value)).join();
    }

    long create(String key, int value) {
        return ((WriteResult.Applied) write(key, 0, value)).version();
    }

    HttpReply control(String method, String path, String json) {
        return http.send(HttpCall.of(method, "http://127.0.0.1:" + platform.controlPort() + path)
                        .json(json)
                        .build())
                .join();
    }

    JsonNode stats() {
        return Json.parse(control("GET", "/control/stats", "").body());
    }

    @Override
    public void close() {
        http.close();
        platform.close();
    }
}
