"""Stand-ins and helpers that the scripts of the third review share."""
