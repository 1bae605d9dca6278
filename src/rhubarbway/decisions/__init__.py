"""Decision logic over model classes; time is a parameter, codecs, sockets and HTTP are not used."""
