package io.hornbeamfield.core.result;

import java.util.Locale;

/** Whether a refused request may have run at a backend server. */
public enum Ran {
    /** The request did not run and never will under this key. */
    NO,
    /** The request may have run. */
    UNKNOWN;

    /** Returns the value of the field {@code ran} in problem details: {@code no} or {@code unknown}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
