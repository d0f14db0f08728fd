package io.hornbeamfield.standins.engine;

import io.hornbeamfield.net.log.Logs;
import io.hornbeamfield.standins.internal.Program;
import io.hornbeamfield.standins.internal.StandInOptions;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;

/** Runs the engine stand-in as a process: {@code standin-engine --address 127.0.0.1:7100 --models m}. */
public final class Main {
    private Main() {}

    /** Starts the stand-in and serves until SIGTERM. */
    public static void main(String[] args) {
        Logs.setUp();
        StandInOptions o = StandInOptions.of("standin-engine", "Simulated model engine")
                .option("address", "127.0.0.1:7100", "address to listen on")
                .option("models", "m", "loaded models, separated by commas")
                .option("slots", "16", "requests that are computed together")
                .option("prefillMsPerToken", "0.05", "time to read an uncached prompt token")
                .option("tokenMs", "2", "time per token with one running request")
                .option("addedMsPerRequest", "0.1", "what each further running request adds to the time per token")
                .option("waitingLimit", "10000", "waiting requests above which new ones are refused")
                .option("cacheTokens", "20000", "size of the prefix cache")
                .option("loadLagMs", "200", "age of the load report")
                .option("cacheEventLagMs", "300", "time until a cache event is shown")
                .option("cacheEventGaps", "0.05", "share of cache events that are left out")
                .option("checksFencing", "true", "whether orders with an old fencing number are refused")
                .option("modelLoadMs", "1000", "time to load a model")
                .option("seed", "1", "seed of the gaps in the cache events")
                .parse(args);
        EngineStandIn engine = EngineStandIn.builder()
                .address(o.text("address"))
                .models(Arrays.asList(o.text("models").split(",")))
                .slots(o.integer("slots"))
                .prefillMsPerToken(o.number("prefillMsPerToken"))
                .tokenMs(o.number("tokenMs"))
                .addedMsPerRequest(o.number("addedMsPerRequest"))
                .waitingLimit(o.integer("waitingLimit"))
                .cacheTokens(o.integer("cacheTokens"))
                .loadLag(Duration.ofMillis(o.integer("loadLagMs")))
                .cacheEvents(Duration.ofMillis(o.integer("cacheEventLagMs")), o.number("cacheEventGaps"))
                .checksFencing(o.flag("checksFencing"))
                .modelLoad(Duration.ofMillis(o.integer("modelLoadMs")))
                .seed(o.integer("seed"))
                .start();
        Program.run(Map.of("address", engine.address()), engine);
    }
}
