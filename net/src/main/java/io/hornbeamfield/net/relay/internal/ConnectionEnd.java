package io.hornbeamfield.net.relay.internal;

import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;

/** How the remote side closed a connection. */
enum ConnectionEnd {
    /** End of stream (FIN): all data that was sent has been received. */
    ORDERLY,
    /** Connection reset (RST): data may be missing. */
    RESET;

    static final Attribute<ConnectionEnd> OF =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("hornbeamfield-connection-end");
}
