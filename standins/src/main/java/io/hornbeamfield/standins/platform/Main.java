package io.hornbeamfield.standins.platform;

import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.log.Logs;
import io.hornbeamfield.standins.internal.Program;
import io.hornbeamfield.standins.internal.StandInOptions;
import java.util.Map;

/** Runs the platform stand-in as a process: {@code standin-platform --address 127.0.0.1:7000}. */
public final class Main {
    private Main() {}

    /** Starts the stand-in and serves until SIGTERM. */
    public static void main(String[] args) {
        Logs.setUp();
        StandInOptions o = StandInOptions.of("standin-platform", "Simulated object API")
                .option("address", "127.0.0.1:7000", "address of the object API")
                .option("controlAddress", "127.0.0.1:7001", "address of the control endpoints")
                .option("token", "platform-token", "bearer token that callers must send")
                .option("seed", "1", "seed of the random faults")
                .option("writesPerSecond", "400", "largest rate of updates")
                .option("readsPerSecond", "2000", "largest rate of reads")
                .option("instanceListLagMs", "0", "time until a change shows in the instance list")
                .parse(args);
        Map<String, Object> faults = Map.of(
                "writesPerSecond", o.number("writesPerSecond"),
                "readsPerSecond", o.number("readsPerSecond"),
                "instanceListLagMs", o.integer("instanceListLagMs"));
        PlatformStandIn platform = PlatformStandIn.builder()
                .address(o.text("address"))
                .controlAddress(o.text("controlAddress"))
                .token(o.text("token"))
                .seed(o.integer("seed"))
                .faults(PlatformFaults.NONE.with(Json.tree(faults)))
                .start();
        Program.run(
                Map.of(
                        "address", "127.0.0.1:" + platform.port(),
                        "controlAddress", "127.0.0.1:" + platform.controlPort()),
                platform);
    }
}
