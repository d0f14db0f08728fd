package io.hornbeamfield.standins.engine.internal;

import java.util.List;

/** State of an engine as it was a short time ago. */
record LoadReport(int running, int waiting, double kvUsed, List<String> models, String state) {}
