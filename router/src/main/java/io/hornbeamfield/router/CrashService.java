package io.hornbeamfield.router;

import io.hornbeamfield.core.quarantine.PartActivity;
import java.util.Collection;

/** Shares crashes of engines with the other routers. Thread-safe. */
public interface CrashService {
    /** Returns when this router served and refused the parts of prompts. */
    PartActivity activity();

    /**
     * Records a request that had no answer yet when its engine was lost.
     *
     * @param model model of the request
     * @param engine incarnation of the engine
     * @param parts prefixes of the prompt
     */
    void engineCrashed(String model, String engine, Collection<String> parts);
}
