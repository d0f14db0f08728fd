package io.hornbeamfield.standins.service;

import io.hornbeamfield.net.log.Logs;
import io.hornbeamfield.standins.internal.Program;
import io.hornbeamfield.standins.internal.StandInOptions;
import java.util.Map;

/** Runs the service stand-in as a process: {@code standin-service --address 127.0.0.1:7200}. */
public final class Main {
    private Main() {}

    /** Starts the stand-in and serves until SIGTERM. */
    public static void main(String[] args) {
        Logs.setUp();
        StandInOptions o = StandInOptions.of("standin-service", "Simulated plain service")
                .option("address", "127.0.0.1:7200", "address to listen on")
                .option("delayMs", "0", "time that each call takes")
                .parse(args);
        ServiceStandIn service = ServiceStandIn.builder()
                .address(o.text("address"))
                .delayMs(o.integer("delayMs"))
                .start();
        Program.run(Map.of("address", service.address()), service);
    }
}
