package io.hornbeamfield.standins.engine.internal;

import java.util.List;

/**
 * State of an engine as it was a short time ago.
 *
 * @param startedAtMs start of the engine in Unix milliseconds, by which routers recognize a restart
 */
record LoadReport(int running, int waiting, double kvUsed, List<String> models, String state, long startedAtMs) {}
