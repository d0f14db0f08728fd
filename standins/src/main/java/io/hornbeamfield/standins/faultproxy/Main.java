package io.hornbeamfield.standins.faultproxy;

import io.hornbeamfield.net.log.Logs;
import io.hornbeamfield.standins.internal.Program;
import io.hornbeamfield.standins.internal.StandInOptions;
import java.util.Map;

/**
 * Runs the fault proxy as a process: {@code fault-proxy --address 127.0.0.1:7300 --links a=127.0.0.1:1/127.0.0.1:2}.
 */
public final class Main {
    private Main() {}

    /** Starts the proxy and serves until SIGTERM. */
    public static void main(String[] args) {
        Logs.setUp();
        StandInOptions o = StandInOptions.of("fault-proxy", "TCP proxy with controllable faults")
                .option("address", "127.0.0.1:7300", "address of the control endpoint")
                .option("links", "", "links to start with, as name=listen/target, separated by commas")
                .parse(args);
        FaultProxy proxy = FaultProxy.builder().address(o.text("address")).start();
        for (String link : o.text("links").split(",")) {
            if (!link.isBlank()) {
                addLink(proxy, link);
            }
        }
        Program.run(Map.of("address", "127.0.0.1:" + proxy.port()), proxy);
    }

    private static void addLink(FaultProxy proxy, String text) {
        int equals = text.indexOf('=');
        int slash = text.indexOf('/', equals);
        if (equals < 0 || slash < 0) {
            throw new IllegalArgumentException("Write a link as name=listen/target: " + text);
        }
        proxy.link(text.substring(0, equals), text.substring(equals + 1, slash), text.substring(slash + 1));
    }
}
