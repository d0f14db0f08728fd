package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.net.relay.Header;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.http.util.MimeHeaders;

/** Copies headers out of a message, whose buffers Grizzly uses again. */
final class HeaderCopy {
    private HeaderCopy() {}

    static List<Header> of(MimeHeaders from) {
        List<Header> list = new ArrayList<>(from.size());
        for (int i = 0; i < from.size(); i++) {
            list.add(new Header(from.getName(i).toString(), from.getValue(i).toString()));
        }
        return list;
    }
}
