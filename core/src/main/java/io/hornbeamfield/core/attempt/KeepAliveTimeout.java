package io.hornbeamfield.core.attempt;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Time for which a server keeps an idle connection, as the Keep-Alive header of its answer names it. */
public final class KeepAliveTimeout {
    private static final Pattern SECONDS = Pattern.compile("timeout=(\\d{1,9})");

    private KeepAliveTimeout() {}

    /** Returns the time in milliseconds, 0 if the header names none. More than nine digits count as the first nine. */
    public static long ms(String header) {
        Matcher m = SECONDS.matcher(header);
        return m.find() ? Long.parseLong(m.group(1)) * 1_000 : 0;
    }
}
